package ctsuccession

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Decide returns the actions that are due for the group now. The caller performs them
// and records their results.
func (m *Machine) Decide(now time.Time, group ctview.Group) []Action {
	m.expire(now)
	m.lost.enter(group.Term)
	if release, expired := m.expireRequester(now, group); expired {
		return []Action{release}
	}
	if actions := m.settlePromotions(now, group); len(actions) > 0 {
		return actions
	}
	if name, term, ok := m.newPrimary(group); ok {
		if action, due := m.adopt(now, group, name, term); due {
			return []Action{action}
		}
	}
	switch {
	case group.Term == 0:
		return m.probeAll(now, primaryProbeInterval, primaryProbeInterval, "")
	case group.ChangingPrimary():
		return m.advanceChange(now, group)
	}
	return m.watch(now, group)
}

// adopt returns the decision that follows from a primary of a later term. Its term is
// fenced first if nobody has requested the promotion: proxies may still acknowledge commits
// of the earlier term, which the new primary may lack, and read there.
func (m *Machine) adopt(now time.Time, group ctview.Group, name ctid.Member, term ctposition.Term) (SetGroup, bool) {
	reason := ReasonLaterTerm
	basis := AdoptionBasis{Member: name, Term: term, Received: m.members[name].status.Received}
	switch {
	case group.Term == 0:
		reason = ReasonAdopted
	case !group.ChangingPrimary():
		group.Fence = term
		return SetGroup{Group: group, Reason: ReasonUnrequested, Basis: basis}, true
	case !m.promotionsComplete(now):
		return SetGroup{}, false
	case group.Candidate == "":
		// With a candidate, the acknowledgments ended before it was chosen.
		if ended, _ := m.acknowledgmentsEnded(now, group); !ended {
			return SetGroup{}, false
		}
	}
	m.lastChangeAt = now
	group.Term, group.Primary = term, name
	group.Fence, group.RetiringTerm, group.Candidate = 0, 0, ""
	group.CandidatePoint = ctposition.Point{}
	return SetGroup{Group: group, Reason: reason, Basis: basis}, true
}

// expire makes members silent that neither announce themselves nor answer, and removes the
// reports of proxies that are no longer tracked.
func (m *Machine) expire(now time.Time) {
	for name, member := range m.members {
		if now.Sub(member.announcedAt) > memberTTL && member.failures > 0 {
			m.silent[name] = silentMember{announcement: member.announcement, since: member.announcedAt}
			delete(m.members, name)
		}
	}
	for name := range m.reports {
		if _, ok := m.proxies.states[name]; !ok {
			delete(m.reports, name)
		}
	}
}

// newPrimary returns the member that reports that it is the primary of the latest term,
// if that term is later than the group's.
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

// watch probes the members and begins a change if the primary has to be replaced and
// a replacement is available.
func (m *Machine) watch(now time.Time, group ctview.Group) []Action {
	m.current = changeState{}
	primaryInterval := m.scaled(primaryProbeInterval)
	if !m.lost.covered(group.Primary) {
		// While a lost log is uncovered, the loss of the primary would leave the group without one.
		primaryInterval = changeInterval
	}
	actions := m.probeAll(now, primaryInterval, m.scaled(replicaProbeInterval), group.Primary)
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

// changeDue reports whether the primary has to be replaced, and the reason.
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

// unreachableByProxies reports whether at least a quarter of the reporters, and at least
// two, have reported the primary as unreachable for unreachableTimeout.
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

// minReporters is the least number of reporters that countReports returns, if that many
// proxies are alive. Few proxies of a large fleet use a group, and two of these would
// otherwise be a quarter and could replace its primary.
const minReporters = 24

// countReports counts the proxies that recently reported the primary as reachable, and
// as unreachable. The number of reporters is the sum of both or minReporters, whichever
// is higher, but never more than the number of live proxies.
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

// hasReplacement reports whether another member is ready and has answered recently.
func (m *Machine) hasReplacement(now time.Time, group ctview.Group) bool {
	for name, member := range m.members {
		if name != group.Primary && m.answeredRecently(now, member) && member.announcement.State == ctserver.StateReady {
			return true
		}
	}
	return false
}

// answeredRecently reports whether the member's last command did not fail and its last
// answer is at most one probe interval and one answer timeout old.
func (m *Machine) answeredRecently(now time.Time, member *memberState) bool {
	return member.failures == 0 && now.Sub(member.answeredAt) <= m.scaled(replicaProbeInterval)+answerTimeout
}

// scaled multiplies an interval by IntervalFactor.
func (m *Machine) scaled(interval time.Duration) time.Duration {
	return time.Duration(max(1, m.IntervalFactor)) * interval
}

// resumeReplicas resumes the replicas that an earlier change paused.
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

// probeAll probes the watched member and all members whose last command failed at the
// short interval, and the others at the long one.
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

// appendCommand appends a command to the actions, unless the last command to the member
// is still pending or failed within retryDelay. A probe is also omitted if the member
// answered within the interval.
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

// acknowledgmentsEnded reports whether no proxy can acknowledge a commit of the primary
// any more. It also reports whether all acknowledged commits are known, because the
// proxies reported them or the covered point of the primary's log includes them.
func (m *Machine) acknowledgmentsEnded(now time.Time, group ctview.Group) (ended, allKnown bool) {
	if now.Before(m.startedAt.Add(ctdrift.UpperBound(AuthorityTTL))) {
		// Proxies unknown to this leader may still have authority from an earlier one.
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
