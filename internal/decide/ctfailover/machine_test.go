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
	leaseTTL       = 2 * time.Second
	reportTimeout  = 900 * time.Millisecond
	longAfterStart = time.Minute
)

var startTime = time.Unix(0, 0)

// newMachine returns the machine of a group of three under a new leader.
func newMachine() *ctfailover.Machine {
	m := &ctfailover.Machine{Size: 3, LeaseTTL: leaseTTL, ReportTimeout: reportTimeout}
	m.Begin(startTime, leaseTTL)
	return m
}

// memberReport returns a holder's report on a member that answers.
func memberReport(
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

// withFence returns the report with a fence that the member has confirmed.
func withFence(report ctview.MemberReport, term ctposition.Term) ctview.MemberReport {
	report.Status.Fence = term
	return report
}

// stableGroup returns a group with the primary a and no change in progress.
func stableGroup() ctview.Group {
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
	t.Run("waits for the member that reports that it is the primary", func(t *testing.T) {
		m := newMachine()
		m.ApplyReport(startTime, memberReport("b", ctserver.RoleReplica, 1, 0))
		m.ApplyReport(startTime, memberReport("c", ctserver.RoleReplica, 1, 0))
		assertBlocked(t, m, startTime, unknown, ctfailover.BlockedNoPrimary)
		m.ApplyReport(startTime, memberReport("a", ctserver.RolePrimary, 1, 0))
		group := assertDecides(t, m, startTime, unknown, ctfailover.ReasonAdopted)
		assert.Equal(t, group.Primary, ctid.Member("a"))
	})
	t.Run("needs a majority", func(t *testing.T) {
		m := newMachine()
		m.ApplyReport(startTime, memberReport("a", ctserver.RolePrimary, 1, 0))
		assertBlocked(t, m, startTime, unknown, ctfailover.BlockedNoMajority)
	})
	t.Run("fences a group without a primary after a timeout", func(t *testing.T) {
		m := newMachine()
		late := startTime.Add(longAfterStart)
		m.ApplyReport(late, memberReport("b", ctserver.RoleReplica, 3, 64))
		m.ApplyReport(late, memberReport("c", ctserver.RoleReplica, 3, 0))
		group := assertDecides(t, m, late, unknown, ctfailover.ReasonPrimaryLost)
		assert.Equal(t, group.Fence, ctposition.Term(4))
	})
}

func TestWatch(t *testing.T) {
	t.Run("does not replace a live primary", func(t *testing.T) {
		m := newMachine()
		m.ApplyReport(startTime, memberReport("a", ctserver.RolePrimary, 1, 64))
		assertBlocked(t, m, startTime, stableGroup(), ctfailover.NotBlocked)
	})
	t.Run("waits until the lease of an unreported primary expires", func(t *testing.T) {
		m := newMachine()
		now := startTime.Add(longAfterStart)
		primary := memberReport("a", ctserver.RolePrimary, 1, 64)
		m.ApplyReport(now, primary)
		assert.Assert(t, m.GrantLease(now, stableGroup(), primary))
		timedOut := now.Add(reportTimeout + time.Millisecond)
		reportReplicas(m, timedOut)
		assertBlocked(t, m, timedOut, stableGroup(), ctfailover.BlockedLease)
		expired := now.Add(leaseTTL + leaseTTL/100)
		reportReplicas(m, expired)
		assertDecides(t, m, expired, stableGroup(), ctfailover.ReasonPrimaryLost)
	})
	t.Run("does not wait for a lease that was surrendered", func(t *testing.T) {
		m := newMachine()
		now := startTime.Add(longAfterStart)
		primary := memberReport("a", ctserver.RolePrimary, 1, 64)
		assert.Assert(t, m.GrantLease(now, stableGroup(), primary))
		primary.Health, primary.SurrenderedTerm = ctview.HealthDown, 1
		m.ApplyReport(now, primary)
		reportReplicas(m, now)
		group := assertDecides(t, m, now, stableGroup(), ctfailover.ReasonPrimaryDown)
		assert.Equal(t, group.Fence, ctposition.Term(2))
	})
	t.Run("needs a majority besides the primary", func(t *testing.T) {
		m := newMachine()
		now := startTime.Add(longAfterStart)
		m.ApplyReport(now, memberReport("b", ctserver.RoleReplica, 1, 64))
		assertBlocked(t, m, now, stableGroup(), ctfailover.BlockedNoMajority)
	})
	t.Run("waits under a new leader as if a lease had been granted", func(t *testing.T) {
		m := newMachine()
		now := startTime.Add(time.Second)
		reportReplicas(m, now)
		assertBlocked(t, m, now, stableGroup(), ctfailover.BlockedLease)
	})
}

func reportReplicas(m *ctfailover.Machine, now time.Time) {
	m.ApplyReport(now, memberReport("b", ctserver.RoleReplica, 1, 64))
	m.ApplyReport(now, memberReport("c", ctserver.RoleReplica, 1, 128))
}

func TestPromote(t *testing.T) {
	changing := stableGroup()
	changing.Fence = 2
	now := startTime.Add(longAfterStart)
	t.Run("waits for a fenced majority", func(t *testing.T) {
		m := newMachine()
		m.ApplyReport(now, withFence(memberReport("b", ctserver.RoleReplica, 1, 64), 2))
		m.ApplyReport(now, memberReport("c", ctserver.RoleReplica, 1, 128))
		assertBlocked(t, m, now, changing, ctfailover.BlockedNotFenced)
	})
	t.Run("is blocked when no majority answers any more", func(t *testing.T) {
		m := newMachine()
		later := now.Add(reportTimeout + time.Millisecond)
		m.ApplyReport(now, memberReport("b", ctserver.RoleReplica, 1, 64))
		m.ApplyReport(later, withFence(memberReport("c", ctserver.RoleReplica, 1, 128), 2))
		assertBlocked(t, m, later, changing, ctfailover.BlockedNoMajority)
	})
	t.Run("chooses the member with the highest position", func(t *testing.T) {
		m := newMachine()
		m.ApplyReport(now, withFence(memberReport("b", ctserver.RoleReplica, 1, 64), 2))
		m.ApplyReport(now, withFence(memberReport("c", ctserver.RoleReplica, 1, 128), 2))
		group := assertDecides(t, m, now, changing, ctfailover.ReasonMostUpToDate)
		assert.Equal(t, group.Primary, ctid.Member("c"))
		assert.Equal(t, group.Term, ctposition.Term(2))
		assert.DeepEqual(t, group.History, ctposition.History{{Term: 2, Position: 128}})
	})
	t.Run("prefers a later term to a higher position", func(t *testing.T) {
		m := newMachine()
		later := changing
		later.Term, later.Fence = 2, 3
		m.ApplyReport(now, withFence(memberReport("b", ctserver.RoleReplica, 2, 64), 3))
		m.ApplyReport(now, withFence(memberReport("c", ctserver.RoleReplica, 1, 128), 3))
		group := assertDecides(t, m, now, later, ctfailover.ReasonMostUpToDate)
		assert.Equal(t, group.Primary, ctid.Member("b"))
	})
}

func TestLease(t *testing.T) {
	for _, refused := range []struct {
		name   string
		group  ctview.Group
		report ctview.MemberReport
	}{
		{"to a replica", stableGroup(), memberReport("a", ctserver.RoleReplica, 1, 64)},
		{"to another member", stableGroup(), memberReport("b", ctserver.RolePrimary, 1, 64)},
		{"in an earlier term", ctview.Group{Term: 2, Primary: "a"}, memberReport("a", ctserver.RolePrimary, 1, 64)},
		{"while the group is being changed", ctview.Group{Term: 1, Fence: 2, Primary: "a"},
			memberReport("a", ctserver.RolePrimary, 1, 64)},
	} {
		t.Run("is not granted "+refused.name, func(t *testing.T) {
			assert.Assert(t, !newMachine().GrantLease(startTime, refused.group, refused.report))
		})
	}
}
