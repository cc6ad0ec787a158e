package ctsuccession_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// ending is a way in which the replica b loses its log.
type ending struct {
	name string
	run  func(e *environment)
}

// endings are the ways in which a log is lost.
var endings = []ending{
	{"started again under its id", func(e *environment) {
		e.restartEmpty("b")
		e.members["b"].unresponsive = false
	}},
	{"started again under its id, before it has said so", func(e *environment) {
		e.restartEmpty("b")
		e.members["b"].unresponsive, e.members["b"].quiet = false, true
	}},
	{"deregistered", func(e *environment) {
		delete(e.members, "b")
		e.machine.DeregisterMember(e.now, "b")
	}},
	{"replaced at its address by a member of its group", func(e *environment) {
		delete(e.members, "b")
		e.members["d"] = &memberServer{status: ctquery.Status{Role: ctserver.RoleReplica}, restarts: 1, address: 'b'}
	}},
	{"replaced at its address by a member of another group", func(e *environment) {
		delete(e.members, "b")
		e.machine.ReleaseAddress(e.now, ctserver.Announcement{
			Group: "h", Member: "x", Incarnation: 9, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 'b'}), 1),
		})
	}},
	{"deregistered, and replaced at its address", func(e *environment) {
		delete(e.members, "b")
		e.machine.DeregisterMember(e.now, "b")
		e.members["d"] = &memberServer{status: ctquery.Status{Role: ctserver.RoleReplica}, restarts: 1, address: 'b'}
	}},
}

// beginOnlyCopy lets only the primary and b receive the last acknowledged commit. The proxies
// have restarted since, so that nobody can report what was acknowledged.
func beginOnlyCopy() *environment {
	e := newEnvironment()
	e.members["a"].status.Received = point(101)
	e.members["b"].status.Received = point(101)
	e.run(3 * time.Second)
	e.incarnation++
	return e
}

// assertWaitsForPrimary loses the primary and asserts that nobody is promoted until it is back,
// and that the waits say so. Of a quiet replica, they may say that it is silent instead.
func assertWaitsForPrimary(t *testing.T, e *environment, reason ctsuccession.Reason) {
	t.Helper()
	e.losePrimary()
	e.run(15 * time.Second)
	assertNoRequest(t, e)
	waits := e.machine.Waits(e.now, e.group)
	assert.Assert(t, len(waits) > 0, "nothing is said to be waited for")
	b, exists := e.members["b"]
	assert.Assert(t, waits[0].Reason == reason || (exists && b.quiet), "%v", waits)
	e.members["a"].down = false
	e.run(5 * time.Second)
	assertPrimary(t, e, "a", 2)
	assert.Equal(t, len(e.machine.Waits(e.now, e.group)), 0)
}

// TestLostReplicaLogLosesCommits covers callers whose acknowledged writes were gone: the only
// replica that held them had lost its log, and the other one was promoted as the one that
// has received most.
func TestLostReplicaLogLosesCommits(t *testing.T) {
	for _, c := range []struct {
		name string
		// before leads up to the loss, and after follows it. Both may be nil.
		before, after func(e *environment)
		reason        ctsuccession.Reason
	}{
		{"long before", nil, pause(11 * time.Second), ctsuccession.ReasonPrimaryAhead},
		{"in the same second", nil, nil, ctsuccession.ReasonLogLost},
		{"known from the register alone", changeLeader, nil, ctsuccession.ReasonLogLost},
		{"after it had fallen silent", fallSilent, nil, ctsuccession.ReasonLogLost},
		{"after it was silent under the last leader", func(e *environment) {
			fallSilent(e)
			e.changeLeader()
		}, nil, ctsuccession.ReasonLogLost},
		{"under an earlier leader, in the same second", nil, changeLeader, ctsuccession.ReasonLogLost},
		{"under an earlier leader, long before", nil, func(e *environment) {
			e.run(5 * time.Second)
			e.changeLeader()
		}, ctsuccession.ReasonPrimaryAhead},
		{"under the second of three leaders", changeLeader, changeLeader, ctsuccession.ReasonLogLost},
		{"in a change, before there is a candidate", beginChange, confirmFence, ctsuccession.ReasonLogLost},
		{"in a change, under an earlier leader", beginChange, func(e *environment) {
			e.changeLeader()
			confirmFence(e)
		}, ctsuccession.ReasonLogLost},
		{"after it was chosen", chooseCandidate, nil, ctsuccession.ReasonLogLost},
		{"after it was chosen, under an earlier leader", chooseCandidate, changeLeader, ctsuccession.ReasonLogLost},
	} {
		for _, ending := range endings {
			t.Run(ending.name+", "+c.name, func(t *testing.T) {
				e := beginOnlyCopy()
				if c.before != nil {
					c.before(e)
				}
				ending.run(e)
				e.announce()
				e.requests = nil
				if c.after != nil {
					c.after(e)
				}
				assertWaitsForPrimary(t, e, c.reason)
			})
		}
	}
}

func changeLeader(e *environment) { e.changeLeader() }

// pause returns a function that runs the environment for a while.
func pause(d time.Duration) func(e *environment) {
	return func(e *environment) { e.run(d) }
}

// fallSilent makes b silent.
func fallSilent(e *environment) {
	e.members["b"].unresponsive = true
	e.run(15 * time.Second)
}

// beginChange loses the primary, and proxies don't confirm the fence.
func beginChange(e *environment) {
	e.losePrimary()
	e.fenced = false
	e.run(time.Second)
}

func confirmFence(e *environment) { e.fenced = true }

// chooseCandidate loses the primary until the promotion of b is requested, which has no effect.
func chooseCandidate(e *environment) {
	e.losePrimary()
	e.ignores = map[ctid.Member]bool{"b": true}
	for len(e.requests) == 0 {
		e.run(stepInterval)
	}
}

// TestLostLogWaitsWithoutNeed guards against a group without a primary although no acknowledged
// commit can be missing: a new leader takes a lost log for one that nothing has covered.
func TestLostLogWaitsWithoutNeed(t *testing.T) {
	t.Run("no log was lost, and the leader and the primary are lost together", func(t *testing.T) {
		e := newEnvironment()
		e.losePrimary()
		e.incarnation++
		e.changeLeader()
		e.run(8 * time.Second)
		assertPrimary(t, e, "b", 2)
	})
	for _, ending := range endings {
		t.Run("the other replica has all that the primary had since, "+ending.name, func(t *testing.T) {
			e := beginOnlyCopy()
			ending.run(e)
			e.run(time.Second)
			if b, ok := e.members["b"]; ok {
				b.quiet = false
			}
			e.members["c"].status.Received = point(101)
			e.run(time.Second)
			e.losePrimary()
			e.changeLeader()
			e.run(8 * time.Second)
			assertPrimary(t, e, "c", 2)
		})
	}
	t.Run("only the primary has started again", func(t *testing.T) {
		e := newEnvironment()
		e.losePrimary()
		e.members["a"].restarts++
		e.incarnation++
		e.machine.ApplyAnnouncement(e.now, ctserver.Announcement{Group: "g", Member: "a", Incarnation: 2})
		e.changeLeader()
		e.run(8 * time.Second)
		assertPrimary(t, e, "b", 2)
	})
	t.Run("an earlier leader learned that the primary is gone, too", func(t *testing.T) {
		e := beginOnlyCopy()
		delete(e.members, "b")
		e.machine.DeregisterMember(e.now, "b")
		e.losePrimary()
		e.machine.DeregisterMember(e.now, "a")
		e.changeLeader()
		e.run(15 * time.Second)
		assertPrimary(t, e, "c", 2)
	})
	t.Run("it was lost in an earlier term", func(t *testing.T) {
		e := beginOnlyCopy()
		e.restartEmpty("b")
		e.run(time.Second)
		e.members["c"].status.Received = point(101)
		e.losePrimary()
		for e.group.Term == 1 {
			e.run(stepInterval)
		}
		assertPrimary(t, e, "c", 2)
		_, lost := e.machine.LostLogs("g")
		assert.Assert(t, !lost)
	})
}

// TestPrimaryThatCoversNoLostLog covers acknowledged writes that were gone: a lost log had them,
// and a primary that lacks them was taken for one that has all that the lost log had.
func TestPrimaryThatCoversNoLostLog(t *testing.T) {
	covered := func(e *environment) bool {
		logs, _ := e.machine.LostLogs("g")
		return len(logs.Uncovered) == 0
	}
	record := func(e *environment, sentAt time.Time, name ctid.Member, term ctposition.Term) {
		e.machine.RecordStatus(e.now, sentAt, name, ctsuccession.Probe{}, ctquery.Status{
			Role: ctserver.RolePrimary, Term: term, Received: ctposition.Point{Term: term, Position: 90},
		})
	}
	// begin makes b the primary of term 4 after a of term 3, and loses the log of c.
	begin := func() *environment {
		e := newEnvironment()
		e.group.Term, e.group.Primary = 4, "b"
		e.members["b"].status.Role, e.members["b"].status.Term = ctserver.RolePrimary, 4
		e.members["a"].hung, e.members["b"].hung = true, true
		e.run(stepInterval)
		e.machine.DeregisterMember(e.now, "c")
		delete(e.members, "c")
		return e
	}
	t.Run("of an earlier term", func(t *testing.T) {
		e := begin()
		record(e, e.now, "a", 3)
		assert.Assert(t, !covered(e))
	})
	t.Run("of an earlier term, under a leader that has not heard the present one", func(t *testing.T) {
		e := begin()
		e.changeLeader()
		record(e, e.now, "a", 3)
		assert.Assert(t, !covered(e))
	})
	t.Run("asked before the loss", func(t *testing.T) {
		e := begin()
		record(e, e.now.Add(-stepInterval), "b", 4)
		assert.Assert(t, !covered(e))
	})
	t.Run("asked by an earlier leader", func(t *testing.T) {
		e := begin()
		sentAt := e.now
		e.now = e.now.Add(stepInterval)
		e.changeLeader()
		record(e, sentAt, "b", 4)
		assert.Assert(t, !covered(e))
	})
	t.Run("of a term that the group has left", func(t *testing.T) {
		e := begin()
		e.group.Term, e.group.Primary = 5, "a"
		e.machine.ApplyGroup(e.group)
		e.machine.DeregisterMember(e.now, "b")
		record(e, e.now, "a", 4)
		assert.Assert(t, !covered(e))
	})
	t.Run("the primary of the present term, asked after the loss, does", func(t *testing.T) {
		e := begin()
		record(e, e.now, "b", 4)
		assert.Assert(t, covered(e))
	})
}

// TestLossDuringAdoption covers a lost log that was forgotten: the leader knew of it before the
// group's next term, which it had proposed, was durable.
func TestLossDuringAdoption(t *testing.T) {
	e := newEnvironment()
	e.group.Fence, e.group.Candidate = 2, "b"
	e.members["b"].status.Role, e.members["b"].status.Term = ctserver.RolePrimary, 2
	e.machine.RecordStatus(e.now, e.now, "b", ctsuccession.Probe{}, e.members["b"].status)
	e.machine.DeregisterMember(e.now, "c")
	var proposed ctsuccession.SetGroup
	for _, action := range e.machine.Decide(e.now, e.group) {
		if set, ok := action.(ctsuccession.SetGroup); ok {
			proposed = set
		}
	}
	assert.Equal(t, proposed.Group.Term, ctposition.Term(2))
	_, lost := e.machine.LostLogs("g")
	assert.Assert(t, lost, "forgotten before the new term is durable")
	e.machine.ApplyGroup(proposed.Group)
	_, lost = e.machine.LostLogs("g")
	assert.Assert(t, !lost, "kept in the new term")
}
