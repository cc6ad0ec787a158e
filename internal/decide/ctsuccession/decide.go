package ctsuccession

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Decide returns what is to be done for the group now.
func (m *Machine) Decide(now time.Time, group ctview.Group) []Action {
	m.forget(now)
	if name, term, ok := m.newPrimary(group); ok && m.settled(now) {
		why := ReasonLaterTerm
		if group.Term == 0 {
			why = ReasonAdopted
		}
		m.changed = now
		group.Term, group.Primary = term, name
		group.Fence, group.RetiringTerm, group.Candidate = 0, 0, ""
		return []Action{SetGroup{Group: group, Reason: why}}
	}
	switch {
	case group.Term == 0:
		return m.probeAll(now, watchTime, watchTime, "")
	case group.ChangingPrimary():
		return m.change(now, group)
	}
	return m.watch(now, group)
}

// forget drops members that were not heard of for long, and what proxies reported
// that are forgotten.
func (m *Machine) forget(now time.Time) {
	for name, row := range m.members {
		if now.Sub(row.heard) > forgetTime && row.failures > 0 {
			delete(m.members, name)
		}
	}
	for name := range m.accounts {
		if _, ok := m.proxies.rows[name]; !ok {
			delete(m.accounts, name)
		}
	}
}

// newPrimary returns the member that says it is the primary of the latest term,
// where that term is later than the group's.
func (m *Machine) newPrimary(group ctview.Group) (ctid.Member, ctposition.Term, bool) {
	var name ctid.Member
	var term ctposition.Term
	for n, row := range m.members {
		if row.status.Role == ctserver.RolePrimary && row.status.Term > max(group.Term, term) {
			name, term = n, row.status.Term
		}
	}
	return name, term, name != ""
}

// watch looks whether the primary has to be replaced.
func (m *Machine) watch(now time.Time, group ctview.Group) []Action {
	m.turn = turn{}
	actions := m.probeAll(now, m.paced(watchTime), m.paced(idleTime), group.Primary)
	why, due := m.due(now, group)
	if !due || !m.replaceable(now, group) {
		return append(actions, m.resume(now, group)...)
	}
	group.Fence = group.Term + 1
	if why == ReasonLeaving {
		group.RetiringTerm = group.Term
	}
	return append(actions, SetGroup{Group: group, Reason: why})
}

// due reports whether the primary is to be replaced, and why.
func (m *Machine) due(now time.Time, group ctview.Group) (Reason, bool) {
	primary, ok := m.members[group.Primary]
	if !ok {
		return ReasonLost, now.Sub(m.began) > settleTime
	}
	if primary.announced.State == ctserver.StateLeaving {
		return ReasonLeaving, true
	}
	if primary.failures == 0 && !primary.answered.IsZero() && primary.status.Role == ctserver.RoleReplica {
		return ReasonDemoted, true
	}
	live, reaching, missing := m.tally(now)
	lost := primary.failures >= lostFailures && missing > 0 && reaching <= missing
	if lost || (primary.failures >= aloneFailures && reaching == 0) {
		return ReasonLost, true
	}
	return ReasonUnreachableByProxies, m.tooManyMiss(now, live, missing)
}

// tooManyMiss reports whether a quarter of the proxies, and two at least, have
// missed the primary for a while.
func (m *Machine) tooManyMiss(now time.Time, live, missing int) bool {
	if missing < 2 || missing*4 < live || now.Sub(m.changed) < calmTime {
		m.missed = time.Time{}
		return false
	}
	if m.missed.IsZero() {
		m.missed = now
	}
	return now.Sub(m.missed) >= missTime
}

// leastJury is how many proxies judge a primary at least, where there are as many:
// in a large fleet few use a group.
const leastJury = 24

// tally counts the proxies that judge the primary, and those of them that reach and
// that miss it.
func (m *Machine) tally(now time.Time) (jury, reaching, missing int) {
	for name, row := range m.accounts {
		switch {
		case !row.of(m.proxies.rows[name]) || now.Sub(row.heard) > reportTime:
		case row.reaches:
			reaching++
		case row.misses:
			missing++
		}
	}
	return min(m.proxies.alive, max(reaching+missing, leastJury)), reaching, missing
}

// replaceable reports whether a member that stays answers and could take over.
func (m *Machine) replaceable(now time.Time, group ctview.Group) bool {
	for name, row := range m.members {
		if name != group.Primary && m.answers(now, row) && row.announced.State == ctserver.StateReady {
			return true
		}
	}
	return false
}

// answers reports whether a member answered lately.
func (m *Machine) answers(now time.Time, row *member) bool {
	return row.failures == 0 && now.Sub(row.answered) <= m.paced(idleTime)+answerTime
}

// paced stretches a time by the machine's pace.
func (m *Machine) paced(d time.Duration) time.Duration {
	return time.Duration(max(1, m.IntervalFactor)) * d
}

// resume lets replicas receive again that an earlier change paused.
func (m *Machine) resume(now time.Time, group ctview.Group) []Action {
	var actions []Action
	for name, row := range m.members {
		if name == group.Primary || row.status.PausedBelow == 0 || row.status.Role != ctserver.RoleReplica {
			continue
		}
		actions = m.ask(now, actions, name, row, Resume{}, changeTime)
	}
	return actions
}

// probeAll asks the primary and the other members for their status, each at its
// interval.
func (m *Machine) probeAll(now time.Time, primary, others time.Duration, name ctid.Member) []Action {
	var actions []Action
	for n, row := range m.members {
		every := others
		if n == name || row.failures > 0 {
			every = primary
		}
		actions = m.ask(now, actions, n, row, Probe{}, every)
	}
	return actions
}

// ask adds a question, unless the member has one to answer or answered lately.
func (m *Machine) ask(
	now time.Time, actions []Action, name ctid.Member, row *member, question Command, every time.Duration,
) []Action {
	since := now.Sub(row.asked)
	if (row.pending && since < answerTime+changeTime) || (row.failures > 0 && since < againTime) {
		return actions
	}
	if _, probe := question.(Probe); probe && now.Sub(row.answered) < every && row.failures == 0 {
		return actions
	}
	row.asked, row.pending = now, true
	return append(actions, SendCommand{Member: name, Command: question})
}

// quiet reports whether no proxy can acknowledge anything for the primary any
// more, and whether all that was acknowledged is known: told by the proxies, or
// covered by a place in the primary's log.
func (m *Machine) quiet(now time.Time, group ctview.Group) (quiet, complete bool) {
	if now.Before(m.began.Add(ctdrift.UpperBound(AuthorityTTL))) {
		return false, false
	}
	covers := func(at time.Time) bool { return m.coveredTerm == group.Term && !at.After(m.coveredAt) }
	complete = covers(m.proxies.mute)
	for name, present := range m.proxies.rows {
		told := m.accounts[name]
		switch {
		case told.of(present) && told.fenced >= group.Fence:
		case now.Before(present.until):
			return false, false
		default:
			complete = complete && covers(present.until)
		}
	}
	return true, complete
}
