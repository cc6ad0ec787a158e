package ctfailover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctfailover"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

const (
	leaseTime   = 2 * time.Second
	silenceTime = 900 * time.Millisecond
	longAfter   = time.Minute
)

var epoch = time.Unix(0, 0)

// newMachine returns the machine of a group of three under a new leader.
func newMachine() *ctfailover.Machine {
	m := &ctfailover.Machine{Size: 3, LeaseTTL: leaseTime, ReportTimeout: silenceTime}
	m.Begin(epoch, leaseTime)
	return m
}

// account is a holder's account of a member that answers.
func account(
	name ctid.Member, role ctserver.Role, term ctposition.Term, position ctposition.Position,
) ctview.MemberReport {
	point := ctposition.Point{Term: term, Position: position}
	return ctview.MemberReport{
		Group:  "fit-registry",
		Member: name,
		Health: ctview.HealthUp,
		Status: ctserver.Status{Role: role, Received: point, Applied: point},
	}
}

// fenced returns the account of a member that confirmed a fence.
func fenced(held ctview.MemberReport, term ctposition.Term) ctview.MemberReport {
	held.Status.Fence = term
	return held
}

// steady is a group whose primary is a.
func steady() ctview.Group {
	return ctview.Group{Name: "fit-registry", Term: 1, Primary: "a"}
}

func assertBlocked(t *testing.T, m *ctfailover.Machine, now time.Time, group ctview.Group, want ctfailover.Reason) {
	t.Helper()
	decided, blocked := m.Decide(now, group)
	_, due := decided.Get()
	assert.Assert(t, !due, "a decision was made")
	assert.Equal(t, blocked, want)
}

func assertDecides(
	t *testing.T, m *ctfailover.Machine, now time.Time, group ctview.Group, want ctfailover.Reason,
) ctview.Group {
	t.Helper()
	decided, blocked := m.Decide(now, group)
	proposal, due := decided.Get()
	assert.Assert(t, due, "no decision was made: %s", blocked)
	assert.Equal(t, proposal.Reason, want)
	return proposal.Group
}

func TestAdopt(t *testing.T) {
	unknown := ctview.Group{Name: "fit-registry"}
	t.Run("waits for the member that says it is the primary", func(t *testing.T) {
		m := newMachine()
		m.ApplyReport(epoch, account("b", ctserver.RoleReplica, 1, 0))
		m.ApplyReport(epoch, account("c", ctserver.RoleReplica, 1, 0))
		assertBlocked(t, m, epoch, unknown, ctfailover.BlockedNoPrimary)
		m.ApplyReport(epoch, account("a", ctserver.RolePrimary, 1, 0))
		group := assertDecides(t, m, epoch, unknown, ctfailover.ReasonAdopted)
		assert.Equal(t, group.Primary, ctid.Member("a"))
	})
	t.Run("needs a majority", func(t *testing.T) {
		m := newMachine()
		m.ApplyReport(epoch, account("a", ctserver.RolePrimary, 1, 0))
		assertBlocked(t, m, epoch, unknown, ctfailover.BlockedNoMajority)
	})
	t.Run("fences a group without a primary in the end", func(t *testing.T) {
		m := newMachine()
		late := epoch.Add(longAfter)
		m.ApplyReport(late, account("b", ctserver.RoleReplica, 3, 64))
		m.ApplyReport(late, account("c", ctserver.RoleReplica, 3, 0))
		group := assertDecides(t, m, late, unknown, ctfailover.ReasonPrimaryLost)
		assert.Equal(t, group.Fence, ctposition.Term(4))
	})
}

func TestWatch(t *testing.T) {
	t.Run("leaves a live primary alone", func(t *testing.T) {
		m := newMachine()
		m.ApplyReport(epoch, account("a", ctserver.RolePrimary, 1, 64))
		assertBlocked(t, m, epoch, steady(), ctfailover.NotBlocked)
	})
	t.Run("waits for the lease of a silent primary", func(t *testing.T) {
		m := newMachine()
		now := epoch.Add(longAfter)
		primary := account("a", ctserver.RolePrimary, 1, 64)
		m.ApplyReport(now, primary)
		assert.Assert(t, m.GrantLease(now, steady(), primary))
		silent := now.Add(silenceTime + time.Millisecond)
		reportReplicas(m, silent)
		assertBlocked(t, m, silent, steady(), ctfailover.BlockedLease)
		over := now.Add(leaseTime + leaseTime/100)
		reportReplicas(m, over)
		assertDecides(t, m, over, steady(), ctfailover.ReasonPrimaryLost)
	})
	t.Run("does not wait for a lease that was given up", func(t *testing.T) {
		m := newMachine()
		now := epoch.Add(longAfter)
		primary := account("a", ctserver.RolePrimary, 1, 64)
		assert.Assert(t, m.GrantLease(now, steady(), primary))
		primary.Health, primary.SurrenderedTerm = ctview.HealthDown, 1
		m.ApplyReport(now, primary)
		reportReplicas(m, now)
		group := assertDecides(t, m, now, steady(), ctfailover.ReasonPrimaryDown)
		assert.Equal(t, group.Fence, ctposition.Term(2))
	})
	t.Run("needs a majority besides the primary", func(t *testing.T) {
		m := newMachine()
		now := epoch.Add(longAfter)
		m.ApplyReport(now, account("b", ctserver.RoleReplica, 1, 64))
		assertBlocked(t, m, now, steady(), ctfailover.BlockedNoMajority)
	})
	t.Run("waits under a new leader as if a lease had been granted", func(t *testing.T) {
		m := newMachine()
		now := epoch.Add(time.Second)
		reportReplicas(m, now)
		assertBlocked(t, m, now, steady(), ctfailover.BlockedLease)
	})
}

func reportReplicas(m *ctfailover.Machine, now time.Time) {
	m.ApplyReport(now, account("b", ctserver.RoleReplica, 1, 64))
	m.ApplyReport(now, account("c", ctserver.RoleReplica, 1, 128))
}

func TestPromote(t *testing.T) {
	moving := steady()
	moving.Fence = 2
	now := epoch.Add(longAfter)
	t.Run("waits for a fenced majority", func(t *testing.T) {
		m := newMachine()
		m.ApplyReport(now, fenced(account("b", ctserver.RoleReplica, 1, 64), 2))
		m.ApplyReport(now, account("c", ctserver.RoleReplica, 1, 128))
		assertBlocked(t, m, now, moving, ctfailover.BlockedNotFenced)
	})
	t.Run("says that no majority answers any more", func(t *testing.T) {
		m := newMachine()
		later := now.Add(silenceTime + time.Millisecond)
		m.ApplyReport(now, account("b", ctserver.RoleReplica, 1, 64))
		m.ApplyReport(later, fenced(account("c", ctserver.RoleReplica, 1, 128), 2))
		assertBlocked(t, m, later, moving, ctfailover.BlockedNoMajority)
	})
	t.Run("takes the member that holds most", func(t *testing.T) {
		m := newMachine()
		m.ApplyReport(now, fenced(account("b", ctserver.RoleReplica, 1, 64), 2))
		m.ApplyReport(now, fenced(account("c", ctserver.RoleReplica, 1, 128), 2))
		group := assertDecides(t, m, now, moving, ctfailover.ReasonMostUpToDate)
		assert.Equal(t, group.Primary, ctid.Member("c"))
		assert.Equal(t, group.Term, ctposition.Term(2))
		assert.DeepEqual(t, group.History, ctposition.History{{Term: 2, Position: 128}})
	})
	t.Run("puts a later term before a higher position", func(t *testing.T) {
		m := newMachine()
		later := moving
		later.Term, later.Fence = 2, 3
		m.ApplyReport(now, fenced(account("b", ctserver.RoleReplica, 2, 64), 3))
		m.ApplyReport(now, fenced(account("c", ctserver.RoleReplica, 1, 128), 3))
		group := assertDecides(t, m, now, later, ctfailover.ReasonMostUpToDate)
		assert.Equal(t, group.Primary, ctid.Member("b"))
	})
}

func TestLease(t *testing.T) {
	for _, refused := range []struct {
		name  string
		group ctview.Group
		held  ctview.MemberReport
	}{
		{"to a replica", steady(), account("a", ctserver.RoleReplica, 1, 64)},
		{"to another member", steady(), account("b", ctserver.RolePrimary, 1, 64)},
		{"in an earlier term", ctview.Group{Term: 2, Primary: "a"}, account("a", ctserver.RolePrimary, 1, 64)},
		{"while the group is being changed", ctview.Group{Term: 1, Fence: 2, Primary: "a"},
			account("a", ctserver.RolePrimary, 1, 64)},
	} {
		t.Run("is not granted "+refused.name, func(t *testing.T) {
			assert.Assert(t, !newMachine().GrantLease(epoch, refused.group, refused.held))
		})
	}
}
