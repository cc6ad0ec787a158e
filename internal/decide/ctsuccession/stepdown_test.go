package ctsuccession_test

import (
	"testing"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// TestStepDownOfAnotherLogLosesCommits covers acknowledged writes that were gone after a member
// had stepped down whose log was not that of the lost primary: control took the end of that log
// for the end of all acknowledged commits.
func TestStepDownOfAnotherLogLosesCommits(t *testing.T) {
	// begin makes b the primary of term 2. Only c has received its acknowledged commit, and c
	// does not answer for now. The proxies have restarted and a new leader has started, so
	// that nobody can report what was acknowledged.
	begin := func() *environment {
		e := newEnvironment()
		e.group.Term, e.group.Primary = 2, "b"
		commit := ctposition.Point{Term: 2, Position: 101}
		e.members["b"].status = ctquery.Status{Role: ctserver.RolePrimary, Term: 2, Received: commit}
		e.members["c"].status = ctquery.Status{Role: ctserver.RoleReplica, Term: 2, Received: commit}
		e.incarnation++
		e.unreachable, e.reachable = 4, 0
		e.proxies = ctsuccession.NewProxyTracker(e.now)
		e.machine.Begin(e.now, e.proxies)
		e.announce()
		e.members["c"].unresponsive = true
		return e
	}
	t.Run("an older primary that comes back", func(t *testing.T) {
		e := begin()
		e.members["b"].down = true
		e.run(8 * time.Second)
		assertNoRequest(t, e)
	})
	t.Run("the lost primary itself, started again without its log", func(t *testing.T) {
		e := begin()
		e.members["a"].status = ctquery.Status{Role: ctserver.RoleReplica, Term: 1, Received: point(100)}
		e.members["b"].status = ctquery.Status{Role: ctserver.RoleReplica}
		e.run(8 * time.Second)
		assertNoRequest(t, e)
	})
	t.Run("the group has a primary again once the other replica is heard", func(t *testing.T) {
		e := begin()
		e.members["b"].down = true
		e.run(8 * time.Second)
		e.members["c"].unresponsive = false
		e.unreachable, e.reachable = 0, 4
		e.run(10 * time.Second)
		assertPrimary(t, e, "c", 3)
	})
}
