package ctfailover

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// handOver decides on a group whose primary answers. A leaving primary completes
// its work first, and then its holder surrenders the lease. The handover is canceled if
// fewer members than a majority are alive and not leaving. A surrendered lease is not
// granted again in the same term. A primary whose lease was surrendered while its
// process was down is therefore replaced, although it answers again.
func (m *Machine) handOver(
	now time.Time, group ctview.Group, primary ctview.MemberReport,
) (ctset.Option[Proposal], Reason) {
	if primary.SurrenderedTerm >= group.Term {
		return m.fence(now, group, ReasonLeaseSurrendered)
	}
	replaceable := m.countStaying(now) >= m.majority()
	switch {
	case primary.Leaving && replaceable && group.PrimaryRetiring():
		return noProposal(), BlockedDraining
	case primary.Leaving && replaceable:
		group.RetiringTerm = group.Term
		return ctset.Some(Proposal{Group: group, Reason: ReasonLeaving}), NotBlocked
	case group.PrimaryRetiring():
		group.RetiringTerm = 0
		return ctset.Some(Proposal{Group: group, Reason: ReasonHandoverCanceled}), NotBlocked
	case primary.Leaving:
		return noProposal(), BlockedNoMajority
	}
	return noProposal(), NotBlocked
}

// successor returns the member to promote and its last received point, if a majority
// is fenced. It is the fenced member with the most up-to-date log. A member that is not
// leaving is preferred if its log is as good, or if a majority of such members is
// fenced. If such a majority answers but is not fenced yet, there is no successor yet.
func (m *Machine) successor(now time.Time, group ctview.Group) (ctid.Member, ctposition.Point, bool) {
	fenced := func(s memberState) bool { return m.alive(now, s) && s.report.Status.Fence >= group.Fence }
	best, point, count := m.mostUpToDate(fenced)
	if count < m.majority() {
		return "", ctposition.Point{}, false
	}
	stayingMember, stayingPoint, stayingCount := m.mostUpToDate(func(s memberState) bool {
		return fenced(s) && !s.report.Leaving
	})
	switch {
	case stayingCount >= m.majority(), stayingCount > 0 && stayingPoint == point:
		return stayingMember, stayingPoint, true
	case m.countStaying(now) >= m.majority():
		return "", ctposition.Point{}, false
	}
	return best, point, true
}

// countAlive returns how many members are alive.
func (m *Machine) countAlive(now time.Time) int {
	_, _, count := m.mostUpToDate(func(s memberState) bool { return m.alive(now, s) })
	return count
}

// countStaying returns how many members are alive and not leaving.
func (m *Machine) countStaying(now time.Time) int {
	_, _, count := m.mostUpToDate(func(s memberState) bool { return m.alive(now, s) && !s.report.Leaving })
	return count
}
