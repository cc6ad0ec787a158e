package ctsuccession

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

const (
	// AuthorityTTL is how long a proxy may act on its view after a report. The authority
	// is a lease on the view: without it the proxy acknowledges no commits.
	AuthorityTTL = 2500 * time.Millisecond
	// primaryProbeInterval and replicaProbeInterval are the intervals of probes while no
	// change is in progress.
	primaryProbeInterval = 400 * time.Millisecond
	replicaProbeInterval = 2 * time.Second
	// changeInterval is the interval of commands during a change.
	changeInterval = 60 * time.Millisecond
	// retryDelay is the pause between two commands to a member whose last one failed.
	retryDelay = 100 * time.Millisecond
	// answerTimeout is how long a member may take to answer a command.
	answerTimeout = 400 * time.Millisecond
	// promotionRetryDelay is the pause between two promotion requests after the first one
	// was deferred.
	promotionRetryDelay = 500 * time.Millisecond
	// promotionTimeout is how long an accepted promotion request, or one of unknown
	// outcome, may take to have an effect.
	promotionTimeout = 2500 * time.Millisecond
	// outcomeTimeout is how long to wait for the outcome of a promotion request.
	outcomeTimeout = 4 * time.Second
	// candidateRetryDelay is how long a candidate is skipped after the service rejected it
	// or its promotion had no effect.
	candidateRetryDelay = 2 * time.Second
	// unreachableTimeout is how long proxies have to report a primary as unreachable before
	// it is replaced although it answers control.
	unreachableTimeout = 700 * time.Millisecond
	// unreachableChangeDelay is the pause after a change before a primary is replaced
	// because proxies can't reach it.
	unreachableChangeDelay = 5 * time.Second
	// discoveryWindow is how long a new leader collects announcements before it assumes
	// that it knows all members.
	discoveryWindow = 2600 * time.Millisecond
	// memberTTL is how long a member that does not answer is sent commands after its last
	// announcement. Its log counts for longer; see Machine.silent.
	memberTTL = 10 * time.Second
	// proxyTTL is how long a proxy without authority is tracked after its last report. Its
	// acknowledged commits count as unknown meanwhile, unless it reports them.
	proxyTTL = 30 * time.Second
	// catchUpTimeout is how long the primary may take to step down, and how long replicas
	// may take afterwards to receive the rest of its log.
	catchUpTimeout = 1500 * time.Millisecond
	// reportTTL is how long a proxy's report on a primary is valid.
	reportTTL = 1200 * time.Millisecond
)

// maxAcceptedRequests is how many accepted promotion requests may have no effect before
// the candidate is skipped.
const maxAcceptedRequests = 3

// The failed commands after which a member counts as lost. One that fails because the
// member's process is gone counts twice.
const (
	// lostFailuresConfirmed applies to a primary that proxies report as unreachable too,
	// unless more of them report it as reachable.
	lostFailuresConfirmed = 2
	// lostFailuresUnconfirmed applies to a primary that no proxy reports as reachable, and
	// to a candidate.
	lostFailuresUnconfirmed = 5
)

// Machine decides on one group. Begin has to be called before any other method. A
// Machine is not safe for concurrent use.
type Machine struct {
	// Control is the leader's name and Epoch its epoch. LastNumber is the number of its last
	// promotion. A machine that replaces another one in the same epoch has to start with a
	// higher LastNumber.
	Control    ctid.Control
	Epoch      ctview.Epoch
	LastNumber ctview.PromotionNumber
	// IntervalFactor multiplies the probe intervals while no change is in progress, so that
	// a leader can probe many groups. Values below 1 count as 1.
	IntervalFactor int

	// startedAt is when the leader started.
	startedAt time.Time
	members   map[ctid.Member]*memberState
	// silent are members that are neither heard nor known to be gone. Their logs may have
	// acknowledged commits that no other log has.
	silent  map[ctid.Member]silentMember
	proxies *ProxyTracker
	// reports are the proxies' latest reports on the group.
	reports map[ctid.Proxy]*proxyReport
	// coveredPoint is the point that the primary of coveredTerm returned to a command sent
	// at coveredAt. It includes all commits acknowledged before coveredAt.
	coveredPoint ctposition.Point
	coveredTerm  ctposition.Term
	coveredAt    time.Time
	// unreachableSince is since when too many proxies have reported the primary as
	// unreachable. It is zero while they don't.
	unreachableSince time.Time
	// lastChangeAt is when this leader last completed a change.
	lastChangeAt time.Time
	// lost is the state of the members' logs that were lost in the group's term.
	lost lostLogs
	// gone holds the members that were deregistered or replaced at their address, and have not
	// been heard again, with the times.
	gone map[ctid.Member]time.Time
	// ended holds the unsettled promotions for which no request can take effect any more, with
	// the times at which the leader learned of it.
	ended map[ctview.Promotion]time.Time
	// handOuts are the requests that were handed to a requester of an earlier epoch.
	handOuts handOuts
	// current is the state of the change in progress.
	current changeState
}

// changeState is the part of a change's state that is not made durable. A new leader
// starts without it.
type changeState struct {
	fence     ctposition.Term
	startedAt time.Time
	// primary is the member to be replaced, and term its term.
	primary ctid.Member
	term    ctposition.Term
	// stepDownPoint is the last point that the primary had received when it stepped down.
	stepDownPoint ctposition.Point
	// steppedDownAt is when the primary confirmed that it had stepped down, or zero.
	steppedDownAt time.Time
	// requests counts the promotion requests that were or may have been accepted.
	requests int
	// requestedAt is when the last promotion request was sent.
	requestedAt time.Time
	// pending reports that the outcome of the last request is not known yet.
	pending bool
	// nextRequestAt is when the next request may be sent.
	nextRequestAt time.Time
	// acceptedRequests counts the accepted promotion requests for the present candidate.
	acceptedRequests int
	// skippedUntil is until when candidates are skipped, because the service rejected them
	// or accepted requests for them had no effect.
	skippedUntil map[ctid.Member]time.Time
}

// memberState is the state of one member.
type memberState struct {
	announcement ctserver.Announcement
	announcedAt  time.Time
	// heardAt is when the member's present run was first heard, and unheard reports that this
	// leader knows the run from an earlier leader alone. Another run may answer meanwhile.
	heardAt time.Time
	unheard bool
	// status is the member's last answer, and answeredAt when it was received.
	status     ctquery.Status
	answeredAt time.Time
	// statusSentAt is when the command that status answers was sent.
	statusSentAt time.Time
	// requestedAt is when the last command was requested from the caller.
	requestedAt time.Time
	// pending reports that the last command is not answered yet.
	pending bool
	// failures counts the failed commands since the last answer.
	failures int
	// confirmedFence is the fence of the last pause that the member confirmed.
	confirmedFence ctposition.Term
}

// proxyReport is a proxy's latest report on the group.
type proxyReport struct {
	incarnation ctid.Incarnation
	lastReport  time.Time
	// fence is the highest fence that the proxy applied.
	fence ctposition.Term
	// lastAcknowledged is the last point that it acknowledged before it applied the fence.
	lastAcknowledged ctposition.Point
	// reachable and unreachable are what it reports on the primary. Both are false if the
	// report does not name the primary.
	reachable   bool
	unreachable bool
}

// Begin resets the machine when a leader starts. The machines of the leader's groups share
// the tracker.
func (m *Machine) Begin(now time.Time, proxies *ProxyTracker) {
	*m = Machine{
		Control:        m.Control,
		Epoch:          m.Epoch,
		LastNumber:     m.LastNumber,
		IntervalFactor: m.IntervalFactor,
		startedAt:      now,
		members:        make(map[ctid.Member]*memberState),
		silent:         make(map[ctid.Member]silentMember),
		gone:           make(map[ctid.Member]time.Time),
		ended:          make(map[ctview.Promotion]time.Time),
		proxies:        proxies,
		reports:        make(map[ctid.Proxy]*proxyReport),
		handOuts:       handOuts{count: uint64(m.LastNumber)},
	}
}

// ApplyGroup applies the durable state of the group. It has to be called after Begin and with
// each change of that state.
func (m *Machine) ApplyGroup(group ctview.Group) {
	m.lost.enter(group.Term)
}

// ApplyAnnouncement applies a member's announcement, unless it is of an earlier run than the
// latest known one. It removes members of earlier incarnations at the same address.
func (m *Machine) ApplyAnnouncement(now time.Time, announcement ctserver.Announcement) {
	latest, known := m.latestRun(announcement.Member)
	if known && announcement.Incarnation < latest {
		return
	}
	if known && announcement.Incarnation > latest {
		m.lost.record(now, announcement.Member)
		delete(m.members, announcement.Member)
	}
	delete(m.silent, announcement.Member)
	delete(m.gone, announcement.Member)
	member, ok := m.members[announcement.Member]
	if !ok {
		member = &memberState{heardAt: now}
		m.members[announcement.Member] = member
	}
	member.announcement = announcement
	member.announcedAt = now
	member.unheard = false
	m.ReleaseAddress(now, announcement)
}

// AddMember adds a member that an earlier leader has heard.
func (m *Machine) AddMember(now time.Time, announcement ctserver.Announcement) {
	m.ApplyAnnouncement(now, announcement)
	if member, ok := m.members[announcement.Member]; ok {
		member.unheard = true
	}
}

// latestRun returns the incarnation of a member that is heard or silent, and whether there is one.
func (m *Machine) latestRun(name ctid.Member) (ctid.Incarnation, bool) {
	if member, heard := m.members[name]; heard {
		return member.announcement.Incarnation, true
	}
	silent, ok := m.silent[name]
	return silent.announcement.Incarnation, ok
}

// ReleaseAddress removes the members whose address the member in an announcement has taken
// over. The announcement may be of another group.
func (m *Machine) ReleaseAddress(now time.Time, announcement ctserver.Announcement) {
	replaced := func(earlier ctserver.Announcement) bool {
		return earlier.Member != announcement.Member && earlier.Address == announcement.Address &&
			earlier.Incarnation < announcement.Incarnation
	}
	for name, member := range m.members {
		if replaced(member.announcement) {
			m.remove(now, name)
		}
	}
	for name, silent := range m.silent {
		if replaced(silent.announcement) {
			m.remove(now, name)
		}
	}
}

// HearMember records a sign of a member whose announcement is not applied, because a
// deregistration of its run has arrived.
func (m *Machine) HearMember(name ctid.Member) {
	delete(m.gone, name)
}

// DeregisterMember removes a member that has ended, also a silent one, and reports whether
// it was known.
func (m *Machine) DeregisterMember(now time.Time, name ctid.Member) bool {
	_, known := m.latestRun(name)
	m.remove(now, name)
	return known
}

// remove removes a member that is gone with its log.
func (m *Machine) remove(now time.Time, name ctid.Member) {
	if _, known := m.latestRun(name); known {
		m.lost.record(now, name)
	}
	delete(m.members, name)
	delete(m.silent, name)
	m.gone[name] = now
}

// ApplyReport applies what a proxy reports on the group.
func (m *Machine) ApplyReport(now time.Time, group ctview.Group, report *ctview.Report) {
	entry, ok := m.reports[report.Proxy.Name]
	if !ok || report.Proxy.Incarnation != entry.incarnation {
		entry = &proxyReport{incarnation: report.Proxy.Incarnation}
		m.reports[report.Proxy.Name] = entry
	}
	entry.lastReport = now
	entry.reachable = slices.Contains(report.Reachable, group.Primary)
	entry.unreachable = slices.Contains(report.Unreachable, group.Primary)
	for _, f := range report.Fences {
		if f.Group == group.Name && f.Fence > entry.fence {
			entry.fence, entry.lastAcknowledged = f.Fence, f.LastAcknowledged
		}
	}
}

// fromRunOf reports whether the report is from the proxy's present run. Both may be nil.
func (r *proxyReport) fromRunOf(proxy *proxyState) bool {
	return r != nil && proxy != nil && r.incarnation == proxy.incarnation
}

// AuthorityExpiry returns when the authority granted for a report received now has expired
// at the latest, whatever the rate of the proxy's clock.
func AuthorityExpiry(now time.Time) time.Time {
	return now.Add(ctdrift.UpperBound(AuthorityTTL))
}

// RecordStatus records the status that a member returned to a command sent at sentAt.
func (m *Machine) RecordStatus(now, sentAt time.Time, name ctid.Member, command Command, status ctquery.Status) {
	member, ok := m.members[name]
	if !ok || sentAt.Before(member.heardAt) {
		// An earlier run of the member may have answered, with another log.
		return
	}
	member.pending = false
	member.failures = 0
	if member.lostLog(status) {
		m.lost.record(now, name)
	}
	member.confirmedFence = min(member.confirmedFence, status.PausedBelow)
	member.status, member.answeredAt, member.statusSentAt = status, now, sentAt
	m.recordCoveredPoint(member)
	if status.Role == ctserver.RolePrimary {
		m.lost.cover(sentAt, status.Term, status.Received)
	}
	switch c := command.(type) {
	case Pause:
		if status.PausedBelow >= c.Fence {
			member.confirmedFence = c.Fence
		}
	case StepDown:
		if m.endsLog(name, c, status) {
			m.current.stepDownPoint, m.current.steppedDownAt = status.Received, now
		}
	}
}

// lostLog reports whether a status shows that the member has started again without its log,
// before it has said so. A log that another primary has rolled back is of a later term.
func (m *memberState) lostLog(status ctquery.Status) bool {
	return status.Term <= m.status.Term && comparePoints(status.Received, m.status.Received) < 0
}

// endsLog reports whether the answer to StepDown is the first that gives the end of the log of
// the primary's term. The log of another member, or of a primary that started again without
// its log, may lack acknowledged commits, and so may one that ends before the covered point of
// that term.
func (m *Machine) endsLog(name ctid.Member, command StepDown, status ctquery.Status) bool {
	covered := m.coveredTerm != m.current.term || comparePoints(status.Received, m.coveredPoint) >= 0
	return name == m.current.primary && command.Fence == m.current.fence && m.current.steppedDownAt.IsZero() &&
		status.Role == ctserver.RoleReplica && status.Term >= m.current.term && covered
}

// recordCoveredPoint records the end of the primary's log in a new term, or if a proxy's
// acknowledged commits became unknown after the last time. It does not advance the point
// more often, because more replicas have received an earlier point.
func (m *Machine) recordCoveredPoint(member *memberState) {
	if member.status.Role != ctserver.RolePrimary {
		return
	}
	outdated := member.status.Term == m.coveredTerm && m.proxies.unreportedUntil.After(m.coveredAt)
	if outdated || member.status.Term > m.coveredTerm {
		m.coveredPoint, m.coveredTerm, m.coveredAt = member.status.Received, member.status.Term, member.statusSentAt
	}
}

// Sample returns a point that includes every commit acknowledged before a time, and
// whether one is known. During a change, after acknowledgments have ended, it is the
// latest point that any proxy may have acknowledged.
func (m *Machine) Sample(now time.Time, group ctview.Group) (point ctposition.Point, before time.Time, known bool) {
	if group.ChangingPrimary() {
		ended, allKnown := m.acknowledgmentsEnded(now, group)
		point = ctposition.Later(m.lastAcknowledged(), m.coveredPoint)
		return point, now, ended && allKnown && m.current.fence == group.Fence && !point.IsZero()
	}
	member, ok := m.members[group.Primary]
	if !ok || member.status.Role != ctserver.RolePrimary || member.status.Term != group.Term {
		return ctposition.Point{}, time.Time{}, false
	}
	return member.status.Received, member.statusSentAt, true
}

// RecordFailure records that a member returned no status. Gone reports that its process
// does not run, which counts as two failures.
func (m *Machine) RecordFailure(name ctid.Member, gone bool) {
	member, ok := m.members[name]
	if !ok {
		return
	}
	member.pending = false
	member.failures++
	if gone {
		member.failures++
	}
}

// RecordPromotion records the outcome of the last promotion request.
func (m *Machine) RecordPromotion(now time.Time, name ctid.Member, outcome PromotionOutcome) {
	m.current.pending = false
	switch outcome {
	case PromotionUnknown:
		m.current.nextRequestAt = m.current.requestedAt.Add(promotionTimeout)
	case PromotionDeferred:
		m.current.requests = max(0, m.current.requests-1)
		m.current.nextRequestAt = m.current.requestedAt.Add(promotionRetryDelay)
	case PromotionAccepted:
		m.current.acceptedRequests++
		m.current.nextRequestAt = m.current.requestedAt.Add(promotionTimeout)
	case PromotionRejected:
		m.current.requests = max(0, m.current.requests-1)
		m.skip(now, name)
	}
}

// skip excludes a candidate for candidateRetryDelay. It is tried again later, because it
// may only have been down for a moment.
func (m *Machine) skip(now time.Time, name ctid.Member) {
	if m.current.skippedUntil == nil {
		m.current.skippedUntil = make(map[ctid.Member]time.Time)
	}
	m.current.skippedUntil[name] = now.Add(candidateRetryDelay)
	m.current.acceptedRequests = 0
}

// skipped reports whether a candidate is excluded at present.
func (m *Machine) skipped(now time.Time, name ctid.Member) bool {
	return now.Before(m.current.skippedUntil[name])
}
