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

// withLeaving returns the account of a member that is to stop.
func withLeaving(report ctview.MemberReport) ctview.MemberReport {
	report.Leaving = true
	return report
}

// leavingPrimary is a machine whose primary a leaves, long after its start.
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
	t.Run("lets a leaving primary end its work first", func(t *testing.T) {
		m := leavingPrimary()
		group := assertDecides(t, m, now, stableGroup(), ctfailover.ReasonLeaving)
		assert.Equal(t, group.RetiringTerm, ctposition.Term(1))
		assert.Equal(t, group.Fence, ctposition.Term(0))
		assertBlocked(t, m, now, group, ctfailover.BlockedDraining)
	})
	t.Run("fences once the lease was given up", func(t *testing.T) {
		m := leavingPrimary()
		primary := withLeaving(memberReport("a", ctserver.RolePrimary, 1, 128))
		primary.SurrenderedTerm = 1
		m.ApplyReport(now, primary)
		group := assertDecides(t, m, now, retiring, ctfailover.ReasonLeaseSurrendered)
		assert.Equal(t, group.Fence, ctposition.Term(2))
		assert.Equal(t, group.RetiringTerm, ctposition.Term(0))
	})
	t.Run("is taken back where the primary stays", func(t *testing.T) {
		m := leavingPrimary()
		m.ApplyReport(now, memberReport("a", ctserver.RolePrimary, 1, 128))
		group := assertDecides(t, m, now, retiring, ctfailover.ReasonHandoverCanceled)
		assert.Equal(t, group.RetiringTerm, ctposition.Term(0))
	})
	t.Run("is taken back where too few others answer", func(t *testing.T) {
		m := leavingPrimary()
		m.ApplyReport(now, withLeaving(memberReport("b", ctserver.RoleReplica, 1, 64)))
		assertDecides(t, m, now, retiring, ctfailover.ReasonHandoverCanceled)
		assertBlocked(t, m, now, stableGroup(), ctfailover.BlockedNoMajority)
	})
	t.Run("replaces a primary that came back after its lease was given up", func(t *testing.T) {
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
			"does not leave where it holds as much",
			withFence(memberReport("b", ctserver.RoleReplica, 1, 128), 2), memberReport("c", ctserver.RoleReplica, 1, 128), "b",
		},
		{
			"does not leave where a majority of others is fenced",
			withFence(memberReport("b", ctserver.RoleReplica, 1, 64), 2),
			withFence(memberReport("c", ctserver.RoleReplica, 1, 0), 2), "b",
		},
		{
			"leaves where nobody else holds as much",
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
	t.Run("waits for others that are to be fenced", func(t *testing.T) {
		m := newMachine()
		m.ApplyReport(now, fencedA)
		m.ApplyReport(now, withFence(memberReport("b", ctserver.RoleReplica, 1, 64), 2))
		m.ApplyReport(now, memberReport("c", ctserver.RoleReplica, 1, 64))
		assertBlocked(t, m, now, changing, ctfailover.BlockedNotFenced)
	})
}
