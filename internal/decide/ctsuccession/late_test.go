package ctsuccession_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
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
	for _, name := range e.group.GuardMembers() {
		if !ctpromotion.Holds(e.members[name].status, primary.status.Received) {
			return ctposition.Point{}
		}
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

// TestUnsettledPromotions covers writes that were refused for good, and promotions that were
// settled although they could take effect: which promotions stay unsettled, and until when.
func TestUnsettledPromotions(t *testing.T) {
	t.Run("a commit that the member holds is acknowledged", func(t *testing.T) {
		e := newEnvironment()
		e.group.Unsettled = []ctview.Promotion{{Member: "b", Epoch: 7}}
		assert.Assert(t, e.commit().IsZero())
		e.members["b"].status.Received = point(102)
		assert.Equal(t, e.commit(), point(102))
	})
	t.Run("that of an earlier leader ends with its lifetime", func(t *testing.T) {
		e := newEnvironment()
		e.group.Unsettled = []ctview.Promotion{{Member: "b", Epoch: 7}}
		e.run(40 * time.Second)
		assertUnsettled(t, e, "b")
		e.run(20 * time.Second)
		assertUnsettled(t, e)
	})
	t.Run("that of a member that is gone ends", func(t *testing.T) {
		e := newEnvironment()
		e.group.Unsettled = []ctview.Promotion{{Member: "c", Epoch: 7}}
		e.members["c"].down = true
		e.machine.DeregisterMember(e.now, "c")
		e.run(2 * time.Second)
		assertUnsettled(t, e, "c")
		e.run(2 * time.Second)
		assertUnsettled(t, e)
	})
	t.Run("a new leader requests the inherited candidate under its own epoch", func(t *testing.T) {
		e := newEnvironment()
		e.group.Fence, e.group.Candidate = 2, "c"
		e.group.Unsettled = []ctview.Promotion{{Member: "c", Epoch: 7}}
		e.members["a"].down = true
		e.proxies = ctsuccession.NewProxyTracker(e.now)
		e.machine.Epoch = 8
		e.machine.Begin(e.now, e.proxies)
		e.run(6 * time.Second)
		assertPrimary(t, e, "c", 2)
		assertUnsettled(t, e, "c", "c")
		assert.Equal(t, e.group.Unsettled[1].Epoch, ctview.Epoch(8))
	})
	t.Run("a primary that nobody requested is fenced before it is adopted", func(t *testing.T) {
		e := newEnvironment()
		e.fenced = false
		e.members["c"].status.Role, e.members["c"].status.Term = ctserver.RolePrimary, 5
		e.run(3 * time.Second)
		assert.Equal(t, e.group.Fence, ctposition.Term(5))
		e.fenced = true
		e.run(time.Second)
		assertPrimary(t, e, "c", 5)
	})
}

// assertUnsettled asserts whose promotions are unsettled.
func assertUnsettled(t *testing.T, e *environment, want ...ctid.Member) {
	t.Helper()
	var got []ctid.Member
	for _, p := range e.group.Unsettled {
		got = append(got, p.Member)
	}
	assert.DeepEqual(t, got, want)
}
