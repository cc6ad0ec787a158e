package ctplace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

var now = time.Unix(100, 0)

// observedLatency returns a mean with one observation.
func observedLatency(latency time.Duration) ctplace.Latency {
	var l ctplace.Latency
	l.Observe(now, latency)
	return l
}

func assertFirst(t *testing.T, want ctid.Member, candidates ...ctplace.Candidate) {
	t.Helper()
	assert.Equal(t, ctplace.Order(now, candidates)[0].Member, want)
}

func TestOrder(t *testing.T) {
	t.Run("local before remote", func(t *testing.T) {
		assertFirst(t, "near",
			ctplace.Candidate{Member: "far", FreeConnections: 1},
			ctplace.Candidate{Member: "near", Local: true, FreeConnections: 1})
	})
	t.Run("remote before a slow local member", func(t *testing.T) {
		assertFirst(t, "far",
			ctplace.Candidate{Member: "far", FreeConnections: 1, Latency: observedLatency(50 * time.Millisecond)},
			ctplace.Candidate{Member: "near", Local: true, FreeConnections: 1, Latency: observedLatency(200 * time.Millisecond)})
	})
	t.Run("avoided member last", func(t *testing.T) {
		assertFirst(t, "primary",
			ctplace.Candidate{Member: "near", Local: true, FreeConnections: 1, AvoidUntil: now.Add(time.Millisecond)},
			ctplace.Candidate{Member: "primary", Primary: true, FreeConnections: 1})
	})
	t.Run("member with fewer running statements first", func(t *testing.T) {
		assertFirst(t, "b",
			ctplace.Candidate{Member: "a", Local: true, FreeConnections: 1, Running: 3},
			ctplace.Candidate{Member: "b", Local: true, FreeConnections: 1})
	})
	t.Run("replica before a primary that is as fast", func(t *testing.T) {
		assertFirst(t, "replica",
			ctplace.Candidate{Member: "a-primary", Local: true, Primary: true, FreeConnections: 1},
			ctplace.Candidate{Member: "replica", Local: true, FreeConnections: 1})
	})
	t.Run("member with a free connection first", func(t *testing.T) {
		assertFirst(t, "b",
			ctplace.Candidate{Member: "a", Local: true},
			ctplace.Candidate{Member: "b", Local: true, FreeConnections: 1})
	})
}

func TestExpectedReturnsToBase(t *testing.T) {
	l := observedLatency(300 * time.Millisecond)
	assert.Equal(t, l.Expected(now, 10*time.Millisecond), 300*time.Millisecond)
	assert.Assert(t, l.Expected(now.Add(time.Second), 10*time.Millisecond) < 300*time.Millisecond)
	assert.Equal(t, l.Expected(now.Add(time.Minute), 10*time.Millisecond), 10*time.Millisecond)
}
