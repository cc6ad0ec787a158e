package ctsuccession_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// holdRequest makes the requests for a member take effect late, without an answer until then.
func (e *environment) holdRequest(name ctid.Member, duration time.Duration) {
	if e.held == nil {
		e.held = make(map[ctid.Member]time.Duration)
	}
	e.held[name] = duration
}

// commit writes to the group's primary, which replicates to no other member. It returns the
// point of the write if a proxy may acknowledge it, and the zero value otherwise.
func (e *environment) commit() ctposition.Point {
	primary := e.members[e.group.Primary]
	primary.status.Received = ctposition.Point{Term: primary.status.Term, Position: primary.status.Received.Position + 1}
	if e.group.ChangingPrimary() || e.group.Term != primary.status.Term {
		return ctposition.Point{}
	}
	return primary.status.Received
}

// assertPromotedWith asserts that a member held an acknowledged commit when it was promoted.
func assertPromotedWith(t *testing.T, e *environment, name ctid.Member, acknowledged ctposition.Point) {
	t.Helper()
	received, promoted := e.promotedWith[name]
	assert.Assert(t, promoted, "%s was not promoted", name)
	assert.Equal(t, ctposition.Later(received, acknowledged), received,
		"%s leads with %s, acknowledged: %s", name, received, acknowledged)
}

// TestLateRequestLosesCommits covers callers whose acknowledged writes were gone: a request for
// one candidate took effect after another one had led and acknowledged commits.
func TestLateRequestLosesCommits(t *testing.T) {
	// begin loses the primary and holds the request for b, which is silent until the request
	// for c is sent.
	begin := func(effect time.Duration) *environment {
		e := newEnvironment()
		e.members["c"].status.Received = point(100)
		e.losePrimary()
		e.holdRequest("b", effect)
		for len(e.requests) < 1 {
			e.run(stepInterval)
		}
		e.members["b"].unresponsive = true
		for len(e.requests) < 2 {
			e.run(stepInterval)
		}
		e.members["b"].unresponsive = false
		return e
	}
	t.Run("of the present leader", func(t *testing.T) {
		e := begin(10 * time.Second)
		for e.group.Term == 1 {
			e.run(stepInterval)
		}
		assertPrimary(t, e, "c", 2)
		acknowledged := e.commit()
		e.run(10 * time.Second)
		assertPromotedWith(t, e, "b", acknowledged)
	})
	t.Run("of the previous leader", func(t *testing.T) {
		e := begin(3 * time.Second)
		e.proxies = ctsuccession.NewProxyTracker(e.now)
		e.machine.Begin(e.now, e.proxies)
		for e.group.Term == 1 {
			e.run(stepInterval)
		}
		assertPrimary(t, e, "c", 2)
		acknowledged := e.commit()
		e.run(5 * time.Second)
		assertPromotedWith(t, e, "b", acknowledged)
	})
}
