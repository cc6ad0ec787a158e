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
	m.expire(now)
	if name, term, ok := m.newPrimary(group); ok && m.promotionsComplete(now) {
		reason := ReasonLaterTerm
		if group.Term == 0 {
			reason = ReasonAdopted
		}
		m.lastChangeAt = now
		group.Term, group.Primary = term, name
		group.Fence, group.RetiringTerm, group.Candidate = 0, 0, ""
		return []Action{SetGroup{Group: group, Reason: reason}}
	}
	switch {
	case group.Term == 0:
		return m.probeAll(now, primaryProbeInterval, primaryProbeInterval, "")
	case group.ChangingPrimary():
		return m.advanceChange(now, group)
	}
	return m.watch(now, group)
}

// expire drops members that were not heard of for long, and what proxies reported
// that are forgotten.
func (m *Machine) expire(now time.Time) {
	for name, member := range m.members {
		if now.Sub(member.announcedAt) > memberTTL && member.failures > 0 {
			delete(m.members, name)
		}
	}
	for name := range m.reports {
		if _, ok := m.proxies.states[name]; !ok {
			delete(m.reports, name)
		}
	}
}

// newPrimary returns the member that says it is the primary of the latest term,
// where that term is later than the group's.
func (m *Machine) newPrimary(group ctview.Group) (ctid.Member, ctposition.Term, bool) {
	var name ctid.Member
	var term ctposition.Term
	for n, member := range m.members {
		if member.status.Role == ctserver.RolePrimary && member.status.Term > max(group.Term, term) {
			name, term = n, member.status.Term
		}
	}
	return name, term, name != ""
}

// watch looks whether the primary has to be replaced.
func (m *Machine) watch(now time.Time, group ctview.Group) []Action {
	m.current = changeState{}
	actions := m.probeAll(now, m.scaled(primaryProbeInterval), m.scaled(replicaProbeInterval), group.Primary)
	reason, due := m.changeDue(now, group)
	if !due || !m.hasReplacement(now, group) {
		return append(actions, m.resumeReplicas(now, group)...)
	}
	group.Fence = group.Term + 1
	if reason == ReasonLeaving {
		group.RetiringTerm = group.Term
	}
	return append(actions, SetGroup{Group: group, Reason: reason})
}

// changeDue reports whether the primary is to be replaced, and why.
func (m *Machine) changeDue(now time.Time, group ctview.Group) (Reason, bool) {
	primary, ok := m.members[group.Primary]
	if !ok {
		return ReasonLost, now.Sub(m.startedAt) > discoveryWindow
	}
	if primary.announcement.State == ctserver.StateLeaving {
		return ReasonLeaving, true
	}
	if primary.failures == 0 && !primary.answeredAt.IsZero() && primary.status.Role == ctserver.RoleReplica {
		return ReasonDemoted, true
	}
	reporters, reachable, unreachable := m.countReports(now)
	lost := primary.failures >= lostFailuresConfirmed && unreachable > 0 && reachable <= unreachable
	if lost || (primary.failures >= lostFailuresUnconfirmed && reachable == 0) {
		return ReasonLost, true
	}
	return ReasonUnreachableByProxies, m.unreachableByProxies(now, reporters, unreachable)
}

// unreachableByProxies reports whether a quarter of the proxies, and two at least, have
// missed the primary for a while.
func (m *Machine) unreachableByProxies(now time.Time, reporters, unreachable int) bool {
	if unreachable < 2 || unreachable*4 < reporters || now.Sub(m.lastChangeAt) < unreachableChangeDelay {
		m.unreachableSince = time.Time{}
		return false
	}
	if m.unreachableSince.IsZero() {
		m.unreachableSince = now
	}
	return now.Sub(m.unreachableSince) >= unreachableTimeout
}

// minReporters is how many proxies judge a primary at least, where there are as many:
// in a large fleet few use a group.
const minReporters = 24

// countReports counts the proxies that judge the primary, and those of them that reach and
// that miss it.
func (m *Machine) countReports(now time.Time) (reporters, reachable, unreachable int) {
	for name, report := range m.reports {
		switch {
		case !report.fromRunOf(m.proxies.states[name]) || now.Sub(report.lastReport) > reportTTL:
		case report.reachable:
			reachable++
		case report.unreachable:
			unreachable++
		}
	}
	return min(m.proxies.alive, max(reachable+unreachable, minReporters)), reachable, unreachable
}

// hasReplacement reports whether a member that stays answers and could take over.
func (m *Machine) hasReplacement(now time.Time, group ctview.Group) bool {
	for name, member := range m.members {
		if name != group.Primary && m.answeredRecently(now, member) && member.announcement.State == ctserver.StateReady {
			return true
		}
	}
	return false
}

// answeredRecently reports whether a member answered lately.
func (m *Machine) answeredRecently(now time.Time, member *memberState) bool {
	return member.failures == 0 && now.Sub(member.answeredAt) <= m.scaled(replicaProbeInterval)+answerTimeout
}

// scaled stretches a time by the machine's pace.
func (m *Machine) scaled(interval time.Duration) time.Duration {
	return time.Duration(max(1, m.IntervalFactor)) * interval
}

// resumeReplicas lets replicas receive again that an earlier change paused.
func (m *Machine) resumeReplicas(now time.Time, group ctview.Group) []Action {
	var actions []Action
	for name, member := range m.members {
		if name == group.Primary || member.status.PausedBelow == 0 || member.status.Role != ctserver.RoleReplica {
			continue
		}
		actions = m.appendCommand(now, actions, name, member, Resume{}, changeInterval)
	}
	return actions
}

// probeAll asks the primary and the other members for their status, each at its
// interval.
func (m *Machine) probeAll(now time.Time, shortInterval, longInterval time.Duration, watched ctid.Member) []Action {
	var actions []Action
	for n, member := range m.members {
		interval := longInterval
		if n == watched || member.failures > 0 {
			interval = shortInterval
		}
		actions = m.appendCommand(now, actions, n, member, Probe{}, interval)
	}
	return actions
}

// appendCommand adds a question, unless the member has one to answer or answered lately.
func (m *Machine) appendCommand(
	now time.Time, actions []Action, name ctid.Member, member *memberState, command Command, interval time.Duration,
) []Action {
	since := now.Sub(member.requestedAt)
	if (member.pending && since < answerTimeout+changeInterval) || (member.failures > 0 && since < retryDelay) {
		return actions
	}
	if _, probe := command.(Probe); probe && now.Sub(member.answeredAt) < interval && member.failures == 0 {
		return actions
	}
	member.requestedAt, member.pending = now, true
	return append(actions, SendCommand{Member: name, Command: command})
}

// acknowledgmentsEnded reports whether no proxy can acknowledge anything for the primary any
// more, and whether all that was acknowledged is known: told by the proxies, or
// covered by a place in the primary's log.
func (m *Machine) acknowledgmentsEnded(now time.Time, group ctview.Group) (ended, allKnown bool) {
	if now.Before(m.startedAt.Add(ctdrift.UpperBound(AuthorityTTL))) {
		return false, false
	}
	covers := func(at time.Time) bool { return m.coveredTerm == group.Term && !at.After(m.coveredAt) }
	allKnown = covers(m.proxies.unreportedUntil)
	for name, proxy := range m.proxies.states {
		report := m.reports[name]
		switch {
		case report.fromRunOf(proxy) && report.fence >= group.Fence:
		case now.Before(proxy.authorityExpiry):
			return false, false
		default:
			allKnown = allKnown && covers(proxy.authorityExpiry)
		}
	}
	return true, allKnown
}
