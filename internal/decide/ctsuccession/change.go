package ctsuccession

import (
	"cmp"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// advanceChange returns the actions for the next step of the change in progress.
func (m *Machine) advanceChange(now time.Time, group ctview.Group) []Action {
	if m.current.fence != group.Fence {
		m.current = changeState{fence: group.Fence, primary: group.Primary, term: group.Term, startedAt: now}
		if group.Candidate != "" {
			// The previous leader may have requested the promotion already.
			m.current.requests, m.current.requestedAt = 1, now
		}
	}
	ended, allKnown := m.acknowledgmentsEnded(now, group)
	if !ended {
		return m.probeAll(now, changeInterval, primaryProbeInterval, group.Primary)
	}
	if m.current.acceptedRequests >= maxAcceptedRequests {
		m.skip(now, group.Candidate)
	}
	if group.Candidate != "" && !m.skipped(now, group.Candidate) && !m.candidateLost(now, group) {
		if _, recorded := m.ownPromotion(group, group.Candidate); !recorded {
			return []Action{SetGroup{Group: m.withPromotion(group, group.Candidate), Reason: ReasonInherited}}
		}
		if group.Requester.IsZero() {
			return []Action{SetGroup{Group: m.withRequester(group), Reason: ReasonRequester}}
		}
		return m.promote(now, group)
	}
	actions := m.stopOldTerm(now, group)
	candidate, ok := m.chooseCandidate(now, group, allKnown)
	if !ok || candidate == group.Candidate {
		return actions
	}
	m.current.nextRequestAt, m.current.acceptedRequests = time.Time{}, 0
	basis := m.candidateBasis(now, group, candidate, allKnown)
	group.CandidatePoint = m.members[candidate].status.Received
	return append(actions, SetGroup{
		Group: m.withPromotion(group, candidate), Reason: ReasonLogComplete, Basis: basis,
	})
}

// candidateLost reports whether the group's candidate is unknown, does not answer, or has
// started again without its log.
func (m *Machine) candidateLost(now time.Time, group ctview.Group) bool {
	member, ok := m.members[group.Candidate]
	if !ok {
		return now.Sub(m.startedAt) > discoveryWindow
	}
	return member.failures >= lostFailuresUnconfirmed || (!member.answeredAt.IsZero() && !m.CandidateHoldsLog(group))
}

// CandidateHoldsLog reports whether the present run of the group's candidate is known to have
// the log that it was chosen for.
func (m *Machine) CandidateHoldsLog(group ctview.Group) bool {
	member, ok := m.members[group.Candidate]
	return ok && !member.answeredAt.IsZero() && comparePoints(member.status.Received, group.CandidatePoint) >= 0
}

// promote requests the promotion of the candidate, unless an earlier request may still
// take effect, and probes the candidate until it is the primary.
func (m *Machine) promote(now time.Time, group ctview.Group) []Action {
	actions := m.probeAll(now, changeInterval, primaryProbeInterval, group.Candidate)
	awaitsOutcome := m.current.pending && now.Sub(m.current.requestedAt) < outcomeTimeout
	if awaitsOutcome || now.Before(m.current.nextRequestAt) || !m.CandidateHoldsLog(group) {
		return actions
	}
	promotion, _ := m.ownPromotion(group, group.Candidate)
	m.current.requests++
	m.current.requestedAt, m.current.pending = now, true
	return append(actions, PromotionRequest{Promotion: promotion, Requester: group.Requester})
}

// promotionsComplete reports whether no promotion request can take effect any more. While
// a second accepted request is outstanding, it may replace the new primary, or promote it
// again to a later term.
func (m *Machine) promotionsComplete(now time.Time) bool {
	return m.current.requests < 2 || now.Sub(m.current.requestedAt) >= promotionTimeout
}

// stopOldTerm commands all primaries below the fence to step down. After the group's
// primary has done so, the replicas have catchUpTimeout to receive the rest of its log
// before they are paused. If the primary does not answer, they are paused at once.
func (m *Machine) stopOldTerm(now time.Time, group ctview.Group) []Action {
	var actions []Action
	primary, known := m.members[group.Primary]
	steppedDown := !m.current.steppedDownAt.IsZero()
	for name, member := range m.members {
		if name != group.Primary && member.isPrimaryBelow(group.Fence) {
			actions = m.appendCommand(now, actions, name, member, StepDown{Fence: group.Fence}, changeInterval)
		}
	}
	if known && !steppedDown {
		actions = m.appendCommand(now, actions, group.Primary, primary, StepDown{Fence: group.Fence}, changeInterval)
		if primary.failures == 0 && now.Sub(m.current.startedAt) < catchUpTimeout {
			return actions
		}
	}
	if known && steppedDown {
		actions = m.appendCommand(now, actions, group.Primary, primary, Probe{}, changeInterval)
	}
	catchingUp := steppedDown && now.Sub(m.current.steppedDownAt) < catchUpTimeout
	for name, member := range m.members {
		if name != group.Primary && !member.isPrimaryBelow(group.Fence) {
			actions = m.pauseReplica(now, actions, group, name, catchingUp)
		}
	}
	return actions
}

// pauseReplica pauses a replica, unless it may still receive the rest of the primary's log or
// has confirmed the fence. A late request may promote it nevertheless, so it is probed then.
func (m *Machine) pauseReplica(
	now time.Time, actions []Action, group ctview.Group, name ctid.Member, catchingUp bool,
) []Action {
	member := m.members[name]
	switch {
	case catchingUp:
		return m.appendCommand(now, actions, name, member, Probe{}, changeInterval)
	case member.confirmedFence < group.Fence:
		return m.appendCommand(now, actions, name, member, Pause{Fence: group.Fence}, changeInterval)
	case member.failures > 0:
		return m.appendCommand(now, actions, name, member, Probe{}, changeInterval)
	}
	return m.appendCommand(now, actions, name, member, Probe{}, primaryProbeInterval)
}

// isPrimaryBelow reports whether a member reports that it is the primary of a term below
// the fence. This is the replaced primary, perhaps restarted under another name. A
// promotion request has no effect on it until it has stepped down.
func (m *memberState) isPrimaryBelow(fence ctposition.Term) bool {
	return m.status.Role == ctserver.RolePrimary && m.status.Term < fence
}

// chooseCandidate returns the member to promote, if one is known to have every
// acknowledged commit. It prefers ready members to leaving ones, then those that the service
// may still promote anyway, and then the most up-to-date log.
func (m *Machine) chooseCandidate(now time.Time, group ctview.Group, allKnown bool) (ctid.Member, bool) {
	var complete []ctid.Member
	for name := range m.members {
		if _, ok := m.logComplete(now, group, name, allKnown); ok && !m.skipped(now, name) {
			complete = append(complete, name)
		}
	}
	if len(complete) == 0 {
		return "", false
	}
	slices.SortFunc(complete, func(a, b ctid.Member) int {
		x, y := m.members[a], m.members[b]
		return cmp.Or(
			cmp.Compare(readyRank(y), readyRank(x)),
			cmp.Compare(unsettledRank(group, b), unsettledRank(group, a)),
			comparePoints(y.status.Received, x.status.Received),
			cmp.Compare(a, b),
		)
	})
	return complete[0], true
}

// readyRank returns 1 for a ready member and 0 for a leaving one.
func readyRank(member *memberState) int {
	if member.announcement.State == ctserver.StateReady {
		return 1
	}
	return 0
}

// comparePoints orders points by term and then by position.
func comparePoints(a, b ctposition.Point) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Position, b.Position))
}

// logComplete reports whether a member's log is known to have every acknowledged commit,
// and the condition that this rests on. For the old primary it is true only after it has
// stepped down, if it still has its log, and the replicas have had catchUpTimeout to receive
// the rest of it.
func (m *Machine) logComplete(now time.Time, group ctview.Group, name ctid.Member, allKnown bool) (Condition, bool) {
	member := m.members[name]
	if member.failures > 0 || member.answeredAt.Before(m.current.startedAt) || member.isPrimaryBelow(group.Fence) {
		return "", false
	}
	received := member.status.Received
	acknowledged := m.lastAcknowledged()
	steppedDown := !m.current.steppedDownAt.IsZero()
	switch {
	case comparePoints(received, acknowledged) < 0:
		return "", false
	case name == group.Primary:
		caughtUp := steppedDown && now.Sub(m.current.steppedDownAt) > catchUpTimeout
		return ConditionOldPrimary, caughtUp && comparePoints(received, m.current.stepDownPoint) >= 0
	case steppedDown && comparePoints(received, m.current.stepDownPoint) >= 0:
		return ConditionStepDown, true
	case member.confirmedFence < group.Fence:
		return "", false
	case allKnown && comparePoints(received, m.coveredPoint) >= 0:
		return ConditionAllKnown, true
	}
	return ConditionNoneAhead, m.noneAhead(now, group, received)
}

// lastAcknowledged returns the latest point that proxies acknowledged before they
// applied the fence, as far as they have reported it.
func (m *Machine) lastAcknowledged() ctposition.Point {
	var latest ctposition.Point
	for _, report := range m.reports {
		if report.fence >= m.current.fence {
			latest = ctposition.Later(latest, report.lastAcknowledged)
		}
	}
	return latest
}

// noneAhead reports whether every member but the primary has confirmed the fence and
// none has received more than a point. It is false while logs may be unknown: shortly
// after the leader started, while a member is silent or was not heard by this leader, and if
// a log was lost that may have had more.
func (m *Machine) noneAhead(now time.Time, group ctview.Group, received ctposition.Point) bool {
	lostAhead := !m.lost.includedIn(received, group.Primary) && !m.goneFor(now, group.Primary, memberTTL)
	if lostAhead || now.Sub(m.startedAt) < discoveryWindow {
		return false
	}
	for name := range m.silent {
		if name != group.Primary {
			return false
		}
	}
	for name, member := range m.members {
		if name == group.Primary {
			continue
		}
		if member.unheard || member.confirmedFence < group.Fence || comparePoints(member.status.Received, received) > 0 {
			return false
		}
	}
	return true
}
