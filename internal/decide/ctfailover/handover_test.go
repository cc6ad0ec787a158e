package ctfailover_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctfailover"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// withLeaving returns the report of a member that announces that it is leaving.
func withLeaving(report ctview.MemberReport) ctview.MemberReport {
	report.Leaving = true
	return report
}

// leavingPrimary returns a machine whose primary a is leaving, after all leases of an
// earlier leader have expired.
func leavingPrimary() *ctfailover.Machine {
	m := newMachine()
	now := startTime.Add(longAfterStart)
	m.ApplyReport(now, withLeaving(memberReport("a", ctserver.RolePrimary, 1, 128)))
	reportReplicas(m, now)
	return m
}

func TestHandOver(t *testing.T) {
	now := startTime.Add(longAfterStart)
	retiring := stableGroup()
	retiring.RetiringTerm = 1
	t.Run("lets a leaving primary complete its work first", func(t *testing.T) {
		m := leavingPrimary()
		group := assertDecides(t, m, now, stableGroup(), ctfailover.ReasonLeaving)
		assert.Equal(t, group.RetiringTerm, ctposition.Term(1))
		assert.Equal(t, group.Fence, ctposition.Term(0))
		assertBlocked(t, m, now, group, ctfailover.BlockedDraining)
	})
	t.Run("fences after the lease was surrendered", func(t *testing.T) {
		m := leavingPrimary()
		primary := withLeaving(memberReport("a", ctserver.RolePrimary, 1, 128))
		primary.SurrenderedTerm = 1
		m.ApplyReport(now, primary)
		group := assertDecides(t, m, now, retiring, ctfailover.ReasonLeaseSurrendered)
		assert.Equal(t, group.Fence, ctposition.Term(2))
		assert.Equal(t, group.RetiringTerm, ctposition.Term(0))
	})
	t.Run("is canceled if the primary does not leave after all", func(t *testing.T) {
		m := leavingPrimary()
		m.ApplyReport(now, memberReport("a", ctserver.RolePrimary, 1, 128))
		group := assertDecides(t, m, now, retiring, ctfailover.ReasonHandoverCanceled)
		assert.Equal(t, group.RetiringTerm, ctposition.Term(0))
	})
	t.Run("is canceled if too few other members stay", func(t *testing.T) {
		m := leavingPrimary()
		m.ApplyReport(now, withLeaving(memberReport("b", ctserver.RoleReplica, 1, 64)))
		assertDecides(t, m, now, retiring, ctfailover.ReasonHandoverCanceled)
		assertBlocked(t, m, now, stableGroup(), ctfailover.BlockedNoMajority)
	})
	t.Run("replaces a primary that restarted after its lease was surrendered", func(t *testing.T) {
		m := newMachine()
		restarted := memberReport("a", ctserver.RolePrimary, 1, 128)
		restarted.SurrenderedTerm = 1
		m.ApplyReport(now, restarted)
		m.ApplyReport(now, memberReport("b", ctserver.RoleReplica, 1, 64))
		assertDecides(t, m, now, stableGroup(), ctfailover.ReasonLeaseSurrendered)
	})
}

func TestSuccessor(t *testing.T) {
	now := startTime.Add(longAfterStart)
	changing := stableGroup()
	changing.Fence = 2
	fencedA := withFence(withLeaving(memberReport("a", ctserver.RolePrimary, 1, 128)), 2)
	for _, c := range []struct {
		name string
		b, c ctview.MemberReport
		want ctid.Member
	}{
		{
			"is not leaving if its log is as good",
			withFence(memberReport("b", ctserver.RoleReplica, 1, 128), 2), memberReport("c", ctserver.RoleReplica, 1, 128), "b",
		},
		{
			"is not leaving if a majority of other members is fenced",
			withFence(memberReport("b", ctserver.RoleReplica, 1, 64), 2),
			withFence(memberReport("c", ctserver.RoleReplica, 1, 0), 2), "b",
		},
		{
			"is a leaving member if no other log is as good",
			withFence(memberReport("b", ctserver.RoleReplica, 1, 64), 2),
			withLeaving(memberReport("c", ctserver.RoleReplica, 1, 128)), "a",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine()
			m.ApplyReport(now, fencedA)
			m.ApplyReport(now, c.b)
			m.ApplyReport(now, c.c)
			group := assertDecides(t, m, now, changing, ctfailover.ReasonMostUpToDate)
			assert.Equal(t, group.Primary, c.want)
		})
	}
	t.Run("waits until enough members that stay are fenced", func(t *testing.T) {
		m := newMachine()
		m.ApplyReport(now, fencedA)
		m.ApplyReport(now, withFence(memberReport("b", ctserver.RoleReplica, 1, 64), 2))
		m.ApplyReport(now, memberReport("c", ctserver.RoleReplica, 1, 64))
		assertBlocked(t, m, now, changing, ctfailover.BlockedNotFenced)
	})
}
