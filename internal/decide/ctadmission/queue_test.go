package ctadmission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmission"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	seed = 7
	tick = time.Millisecond
)

var epoch = time.Unix(0, 0)

func anyRequest(*ctadmission.Request) bool { return true }

func newRequest(workspace ctid.Workspace, priority int, deadline time.Duration) ctadmission.Request {
	return ctadmission.Request{
		Workspace: workspace, Priority: ctadmission.Priority{Route: priority}, Deadline: epoch.Add(deadline),
	}
}

// assertOrder checks in which order the requests of a queue start at a time.
func assertOrder(t *testing.T, q *ctadmission.Queue, now time.Time, want ...ctid.Workspace) {
	t.Helper()
	var got []ctid.Workspace
	for {
		r, ok := q.Next(now, anyRequest)
		if !ok {
			break
		}
		got = append(got, r.Workspace)
	}
	assert.DeepEqual(t, got, want)
}

// TestQueue guards against requests that overtake more urgent ones, and against a workspace that
// delays the others.
func TestQueue(t *testing.T) {
	t.Run("orders by priority, then by deadline", func(t *testing.T) {
		var q ctadmission.Queue
		q.Add(newRequest("late", 1, 3*time.Second))
		q.Add(newRequest("less urgent", 2, time.Second))
		q.Add(newRequest("soon", 1, time.Second))
		assertOrder(t, &q, epoch, "soon", "late", "less urgent")
	})
	t.Run("passes over requests whose deadline has passed", func(t *testing.T) {
		var q ctadmission.Queue
		q.Add(newRequest("missed", 1, time.Second))
		q.Add(newRequest("in time", 2, 2*time.Second))
		assertOrder(t, &q, epoch.Add(time.Second), "in time")
	})
	t.Run("alternates between workspaces though one asks ten times as much", func(t *testing.T) {
		var q ctadmission.Queue
		for range 20 {
			q.Add(newRequest("large", 1, time.Second))
		}
		q.Add(newRequest("small", 1, time.Second))
		q.Add(newRequest("small", 1, time.Second))
		for i := range 4 {
			r, _ := q.Next(epoch, anyRequest)
			assert.Equal(t, r.Workspace, []ctid.Workspace{"large", "small"}[i%2])
		}
	})
	t.Run("knows no wait before it has seen requests start", func(t *testing.T) {
		var q ctadmission.Queue
		for range 100 {
			q.Add(newRequest("w", 1, time.Second))
		}
		assert.Equal(t, q.ExpectedWait(epoch, newRequest("w", 1, time.Second)), time.Duration(0))
	})
}

// queueing is the outcome of a queue in front of a server with random service times.
type queueing struct {
	arrived, started, rejected, missed int
}

// simulate lets requests with a deadline arrive for some time, perTick on average.
func simulate(perTick float64, workspaces int, rejectEarly bool) queueing {
	const timeout, serviceTime = 150 * time.Millisecond, 4 * time.Millisecond
	var q ctadmission.Queue
	var out queueing
	random := rand.New(rand.NewPCG(seed, seed))
	nextStart := epoch
	for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(tick) {
		if random.Float64() < perTick {
			out.arrived++
			r := newRequest(ctid.Workspace(fmt.Sprint(random.IntN(workspaces))), 1, now.Add(timeout).Sub(epoch))
			if rejectEarly && q.ExpectedWait(now, r) >= timeout {
				out.rejected++
			} else {
				q.Add(r)
			}
		}
		if now.Before(nextStart) {
			continue
		}
		if _, ok := q.Next(now, anyRequest); ok {
			out.started++
			nextStart = now.Add(time.Duration(random.ExpFloat64() * float64(serviceTime)))
		}
	}
	out.missed = out.arrived - out.rejected - out.started
	return out
}

// TestExpectedWait guards against rejecting requests that could be served, and against letting
// those wait that can't.
func TestExpectedWait(t *testing.T) {
	for _, workspaces := range []int{1, 8} {
		t.Run(fmt.Sprintf("at twice the capacity with %d workspaces", workspaces), func(t *testing.T) {
			without, with := simulate(0.5, workspaces, false), simulate(0.5, workspaces, true)
			t.Logf("without %+v, with %+v", without, with)
			assert.Assert(t, with.started > without.started*95/100)
			assert.Assert(t, with.missed < without.missed/2)
		})
		t.Run(fmt.Sprintf("below the capacity with %d workspaces", workspaces), func(t *testing.T) {
			with := simulate(0.15, workspaces, true)
			assert.Assert(t, with.rejected == 0, "%+v", with)
		})
	}
}
