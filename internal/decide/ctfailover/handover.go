package ctfailover

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// handOver decides on a group whose primary answers. One that leaves is to end
// its work first, and its holder then gives the lease up; where a majority of
// the others can't take over any more, it stays. A primary whose lease was given
// up while its process was gone gets no other one in that term.
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

// successor returns the member that is to become the primary: the one that holds
// most of a fenced majority, and if possible one that does not leave.
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

// countAnswering returns how many members answer.
func (m *Machine) countAnswering(now time.Time) int {
	_, _, count := m.mostUpToDate(func(s memberState) bool { return m.alive(now, s) })
	return count
}

// countStaying returns how many members answer and do not leave.
func (m *Machine) countStaying(now time.Time) int {
	_, _, count := m.mostUpToDate(func(s memberState) bool { return m.alive(now, s) && !s.report.Leaving })
	return count
}
