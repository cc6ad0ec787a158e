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
	replaceable := m.staying(now) >= m.majority()
	switch {
	case primary.Leaving && replaceable && group.PrimaryRetiring():
		return none(), BlockedDraining
	case primary.Leaving && replaceable:
		group.RetiringTerm = group.Term
		return ctset.Some(Proposal{Group: group, Reason: ReasonLeaving}), NotBlocked
	case group.PrimaryRetiring():
		group.RetiringTerm = 0
		return ctset.Some(Proposal{Group: group, Reason: ReasonHandoverCanceled}), NotBlocked
	case primary.Leaving:
		return none(), BlockedNoMajority
	}
	return none(), NotBlocked
}

// successor returns the member that is to become the primary: the one that holds
// most of a fenced majority, and if possible one that does not leave.
func (m *Machine) successor(now time.Time, group ctview.Group) (ctid.Member, ctposition.Point, bool) {
	fenced := func(a account) bool { return m.alive(now, a) && a.held.Status.Fence >= group.Fence }
	best, point, count := m.best(fenced)
	if count < m.majority() {
		return "", ctposition.Point{}, false
	}
	other, reached, staying := m.best(func(a account) bool { return fenced(a) && !a.held.Leaving })
	switch {
	case staying >= m.majority(), staying > 0 && reached == point:
		return other, reached, true
	case m.staying(now) >= m.majority():
		return "", ctposition.Point{}, false
	}
	return best, point, true
}

// answering returns how many members answer.
func (m *Machine) answering(now time.Time) int {
	_, _, count := m.best(func(a account) bool { return m.alive(now, a) })
	return count
}

// staying returns how many members answer and do not leave.
func (m *Machine) staying(now time.Time) int {
	_, _, count := m.best(func(a account) bool { return m.alive(now, a) && !a.held.Leaving })
	return count
}
