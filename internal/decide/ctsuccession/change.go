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

// change takes the change under way further.
func (m *Machine) change(now time.Time, group ctview.Group) []Action {
	if m.turn.fence != group.Fence {
		m.turn = turn{fence: group.Fence, began: now}
		if group.Candidate != "" {
			// The leader before may have ordered it.
			m.turn.orders, m.turn.ordered = 1, now
		}
	}
	quiet, complete := m.quiet(now, group)
	if !quiet {
		return m.probeAll(now, changeTime, watchTime, group.Primary)
	}
	if m.turn.tries >= maxTries {
		m.refuse(now, group.Candidate)
	}
	if group.Candidate != "" && !m.refused(now, group.Candidate) && !m.lostCandidate(now, group.Candidate) {
		return m.promote(now, group)
	}
	actions := m.stop(now, group)
	candidate, ok := m.candidate(now, group, complete)
	if !ok || candidate == group.Candidate {
		return actions
	}
	m.turn.again, m.turn.tries = time.Time{}, 0
	group.Candidate = candidate
	return append(actions, SetGroup{Group: group, Reason: ReasonLogComplete})
}

// lostCandidate reports whether a candidate does not answer.
func (m *Machine) lostCandidate(now time.Time, name ctid.Member) bool {
	row, ok := m.members[name]
	if !ok {
		return now.Sub(m.began) > settleTime
	}
	return row.failures >= aloneFailures
}

// promote orders the promotion of the candidate and waits for it.
func (m *Machine) promote(now time.Time, group ctview.Group) []Action {
	actions := m.probeAll(now, changeTime, watchTime, group.Candidate)
	if now.Before(m.turn.again) || (m.turn.pending && now.Sub(m.turn.ordered) < pendingTime) {
		return actions
	}
	m.turn.orders++
	m.turn.ordered, m.turn.pending = now, true
	return append(actions, PromotionRequest{Member: group.Candidate})
}

// settled reports whether no further order can take effect: where more than one may
// have been taken, a member that leads already may be replaced, or promoted anew.
func (m *Machine) settled(now time.Time) bool {
	return m.turn.orders < 2 || now.Sub(m.turn.ordered) >= effectTime
}

// stop tells the primary to step down. Once it has, the replicas get a moment to
// receive what it has; where it does not answer they are paused at once.
func (m *Machine) stop(now time.Time, group ctview.Group) []Action {
	var actions []Action
	primary, known := m.members[group.Primary]
	stepped := !m.turn.steppedAt.IsZero()
	for name, row := range m.members {
		if name != group.Primary && row.leadsBefore(group.Fence) {
			actions = m.ask(now, actions, name, row, StepDown{Fence: group.Fence}, changeTime)
		}
	}
	if known && !stepped {
		actions = m.ask(now, actions, group.Primary, primary, StepDown{Fence: group.Fence}, changeTime)
		if primary.failures == 0 && now.Sub(m.turn.began) < followTime {
			return actions
		}
	}
	following := stepped && now.Sub(m.turn.steppedAt) < followTime
	for name, row := range m.members {
		switch {
		case name == group.Primary || row.leadsBefore(group.Fence):
		case following:
			actions = m.ask(now, actions, name, row, Probe{}, changeTime)
		case row.paused < group.Fence:
			actions = m.ask(now, actions, name, row, Pause{Fence: group.Fence}, changeTime)
		}
	}
	return actions
}

// leadsBefore reports whether a member says that it leads in a term before the fence:
// the primary that was given up, perhaps under another name. No order changes anything
// for it.
func (m *member) leadsBefore(fence ctposition.Term) bool {
	return m.status.Role == ctserver.RolePrimary && m.status.Term < fence
}

// candidate returns the member to promote, where one is known to hold every
// acknowledged commit. A member that stays goes first, then the one that holds
// most.
func (m *Machine) candidate(now time.Time, group ctview.Group, complete bool) (ctid.Member, bool) {
	var safe []ctid.Member
	for name := range m.members {
		if !m.refused(now, name) && m.safe(now, group, name, complete) {
			safe = append(safe, name)
		}
	}
	if len(safe) == 0 {
		return "", false
	}
	slices.SortFunc(safe, func(a, b ctid.Member) int {
		x, y := m.members[a], m.members[b]
		return cmp.Or(
			cmp.Compare(staying(y), staying(x)),
			compare(y.status.Received, x.status.Received),
			cmp.Compare(a, b),
		)
	})
	return safe[0], true
}

func staying(row *member) int {
	if row.announced.State == ctserver.StateReady {
		return 1
	}
	return 0
}

func compare(a, b ctposition.Point) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Position, b.Position))
}

// safe reports whether a member is known to hold every acknowledged commit.
func (m *Machine) safe(now time.Time, group ctview.Group, name ctid.Member, complete bool) bool {
	row := m.members[name]
	if row.failures > 0 || row.answered.Before(m.turn.began) || row.leadsBefore(group.Fence) {
		return false
	}
	received := row.status.Received
	acknowledged := m.acknowledged()
	stepped := !m.turn.steppedAt.IsZero()
	switch {
	case compare(received, acknowledged) < 0:
		return false
	case name == group.Primary:
		return stepped && now.Sub(m.turn.steppedAt) > followTime
	case stepped && compare(received, m.turn.stepped) >= 0:
		return true
	case row.paused < group.Fence:
		return false
	}
	return (complete && compare(received, m.covered) >= 0) || m.allPaused(now, group, received)
}

// acknowledged returns the latest point that proxies are known to have
// acknowledged before the fence.
func (m *Machine) acknowledged() ctposition.Point {
	var latest ctposition.Point
	for _, told := range m.accounts {
		if told.fenced >= m.turn.fence {
			latest = ctposition.Later(latest, told.acknowledged)
		}
	}
	return latest
}

// allPaused reports whether every other member has confirmed the fence, and none
// holds more than a point.
func (m *Machine) allPaused(now time.Time, group ctview.Group, received ctposition.Point) bool {
	if now.Sub(m.began) < settleTime || (!m.left.IsZero() && now.Sub(m.left) < forgetTime) {
		return false
	}
	for name, row := range m.members {
		if name == group.Primary {
			continue
		}
		if row.paused < group.Fence || compare(row.status.Received, received) > 0 {
			return false
		}
	}
	return true
}
