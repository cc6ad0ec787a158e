package ctfailover

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Reason is why a decision was made, or what blocks it.
type Reason string

// The reasons for decisions.
const (
	ReasonAdopted          Reason = "majority_announced"
	ReasonPrimaryDown      Reason = "primary_down"
	ReasonPrimaryLost      Reason = "primary_silent"
	ReasonMostUpToDate     Reason = "holds_most_of_a_fenced_majority"
	ReasonLeaving          Reason = "primary_leaves"
	ReasonHandoverCanceled Reason = "primary_stays"
	ReasonLeaseSurrendered Reason = "primary_gave_its_lease_up"
)

// The reasons why no decision is made.
const (
	NotBlocked        Reason = ""
	BlockedNoMajority Reason = "fewer_members_than_a_majority_answer"
	BlockedLease      Reason = "write_lease_may_still_be_in_use"
	BlockedNotFenced  Reason = "majority_not_fenced_yet"
	BlockedNoPrimary  Reason = "no_member_says_it_is_the_primary_yet"
	BlockedDraining   Reason = "leaving_primary_ends_its_work"
)

// Proposal is a decision that control has to make durable before it takes effect.
type Proposal struct {
	Group  ctview.Group
	Reason Reason
}

// Decide returns the next decision on the group, if one is due. Otherwise it
// returns what blocks a change that is due, or NotBlocked if none is.
func (m *Machine) Decide(now time.Time, group ctview.Group) (ctset.Option[Proposal], Reason) {
	switch {
	case group.Term == 0 && group.Fence == 0:
		return m.adopt(now, group)
	case group.Fence > group.Term:
		return m.promote(now, group)
	}
	return m.watch(now, group)
}

// adopt records the primary of a group that control knows nothing of, if a majority
// answers. A group that reports no primary for adoptTimeout is fenced instead.
func (m *Machine) adopt(now time.Time, group ctview.Group) (ctset.Option[Proposal], Reason) {
	_, highest, count := m.mostUpToDate(func(s memberState) bool { return m.alive(now, s) })
	if count < m.majority() {
		return noProposal(), BlockedNoMajority
	}
	primary, point, primaries := m.mostUpToDate(func(s memberState) bool {
		return m.alive(now, s) && s.report.Status.Role == ctserver.RolePrimary
	})
	if primaries == 0 || point.Term < highest.Term {
		if now.Sub(m.startedAt) < adoptTimeout {
			return noProposal(), BlockedNoPrimary
		}
		group.Fence = highest.Term + 1
		return ctset.Some(Proposal{Group: group, Reason: ReasonPrimaryLost}), NotBlocked
	}
	group.Term = point.Term
	group.Primary = primary
	return ctset.Some(Proposal{Group: group, Reason: ReasonAdopted}), NotBlocked
}

// watch begins a change if the primary is lost or leaving.
func (m *Machine) watch(now time.Time, group ctview.Group) (ctset.Option[Proposal], Reason) {
	primary := m.members[group.Primary]
	if m.alive(now, primary) {
		return m.handOver(now, group, primary.report)
	}
	reason := ReasonPrimaryLost
	if primary.report.Health == ctview.HealthDown {
		reason = ReasonPrimaryDown
	}
	if !m.leaseEnded(now, group) {
		return noProposal(), BlockedLease
	}
	return m.fence(now, group, reason)
}

// fence begins a change, if a majority answers.
func (m *Machine) fence(now time.Time, group ctview.Group, reason Reason) (ctset.Option[Proposal], Reason) {
	if m.countAlive(now) < m.majority() {
		return noProposal(), BlockedNoMajority
	}
	group.Fence = group.Term + 1
	group.RetiringTerm = 0
	return ctset.Some(Proposal{Group: group, Reason: reason}), NotBlocked
}

// promote completes a change: it makes the successor the primary of the new term.
func (m *Machine) promote(now time.Time, group ctview.Group) (ctset.Option[Proposal], Reason) {
	if !m.leaseEnded(now, group) {
		return noProposal(), BlockedLease
	}
	if m.countAlive(now) < m.majority() {
		return noProposal(), BlockedNoMajority
	}
	successor, point, ok := m.successor(now, group)
	if !ok {
		return noProposal(), BlockedNotFenced
	}
	group.Term = group.Fence
	group.Fence = 0
	group.Primary = successor
	start := ctposition.TermStart{Term: group.Term, Position: point.Position}
	group.History = append(slices.Clone(group.History), start)
	return ctset.Some(Proposal{Group: group, Reason: ReasonMostUpToDate}), NotBlocked
}

// noProposal returns the empty option.
func noProposal() ctset.Option[Proposal] {
	return ctset.Option[Proposal]{}
}
