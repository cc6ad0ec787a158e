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

// The times of a machine.
const (
	// AuthorityTTL is how long a proxy may act on its view after it reported.
	AuthorityTTL = 2500 * time.Millisecond
	// primaryProbeInterval is the time between two questions to a primary, and idleTime to
	// a replica, while nothing is amiss.
	primaryProbeInterval = 400 * time.Millisecond
	replicaProbeInterval = 2 * time.Second
	// changeInterval is the time between two questions during a change.
	changeInterval = 60 * time.Millisecond
	// retryDelay is the least time between two questions to a member that failed.
	retryDelay = 100 * time.Millisecond
	// answerTimeout is how long an answer may take.
	answerTimeout = 400 * time.Millisecond
	// promotionRetryDelay is the time between two orders where the first was not taken.
	promotionRetryDelay = 500 * time.Millisecond
	// promotionTimeout is how long an order that may have been taken may go without an
	// effect, and pendingTime how long what came of one may stay unknown.
	promotionTimeout = 2500 * time.Millisecond
	outcomeTimeout   = 4 * time.Second
	// candidateRetryDelay is how long a candidate is passed over after it was refused.
	candidateRetryDelay = 2 * time.Second
	// unreachableTimeout is how long proxies have to miss a primary that answers control
	// before it is replaced.
	unreachableTimeout = 700 * time.Millisecond
	// unreachableChangeDelay is the least time between two changes for that reason.
	unreachableChangeDelay = 5 * time.Second
	// discoveryWindow is how long a new leader hears announcements before it takes
	// the members that it knows for all.
	discoveryWindow = 2600 * time.Millisecond
	// memberTTL is how long a member counts that is not heard of any more.
	memberTTL = 10 * time.Second
	// proxyTTL is how long what a proxy acknowledged counts as unknown after
	// it was heard of last.
	proxyTTL = 30 * time.Second
	// catchUpTimeout is how long replicas may take to receive what a primary that
	// stepped down has.
	catchUpTimeout = 1500 * time.Millisecond
	// reportTTL is how long a proxy's account of a primary counts.
	reportTTL = 1200 * time.Millisecond
)

// maxAcceptedRequests is after how many orders that were taken without an effect a candidate
// is passed over.
const maxAcceptedRequests = 3

// The failures after which a member counts as lost.
const (
	// lostFailuresConfirmed is how many, where proxies miss it as well.
	lostFailuresConfirmed = 2
	// lostFailuresUnconfirmed is how many, where no proxy says anything.
	lostFailuresUnconfirmed = 5
)

// Machine decides on one group. Its zero value knows nothing.
type Machine struct {
	// IntervalFactor stretches the time between two questions while nothing is amiss, so that a
	// leader of many groups can ask them all; 1 where it is 0.
	IntervalFactor int

	startedAt time.Time
	members   map[ctid.Member]*memberState
	proxies   *ProxyTracker
	// reports are what proxies reported of the group.
	reports map[ctid.Proxy]*proxyReport
	// coveredPoint is the place in its log that the primary of a term told when it was
	// asked at a time: all that was acknowledged before is in it.
	coveredPoint ctposition.Point
	coveredTerm  ctposition.Term
	coveredAt    time.Time
	// unreachableSince is since when too many proxies have missed the primary.
	unreachableSince time.Time
	// lastChangeAt is when the last change ended here, and left when a member went
	// away whose log is gone with it.
	lastChangeAt   time.Time
	deregisteredAt time.Time
	// current is what the change under way has come to.
	current changeState
}

// changeState is the state of a change that need not be durable.
type changeState struct {
	fence     ctposition.Term
	startedAt time.Time
	// stepDownPoint is the point of the primary that stepped down, and steppedAt when
	// it did.
	stepDownPoint ctposition.Point
	steppedDownAt time.Time
	// requests counts the orders of this change that were or may have been taken, and
	// ordered is when the last one was sent.
	requests    int
	requestedAt time.Time
	// pending reports that what came of it is not known yet, and again when the next
	// one may be sent.
	pending       bool
	nextRequestAt time.Time
	// acceptedRequests counts the orders for the candidate that were taken.
	acceptedRequests int
	// skippedUntil tells until when candidates are passed over, because the service refused
	// them or took their orders without an effect.
	skippedUntil map[ctid.Member]time.Time
}

// memberState is what is known of a member.
type memberState struct {
	announcement ctserver.Announcement
	announcedAt  time.Time
	// status is the answer that came last, to a question asked at answered.
	status     ctquery.Status
	answeredAt time.Time
	// statusRequestedAt is when that question was asked.
	statusRequestedAt time.Time
	// requestedAt is when a question was asked last, and pending whether it is not
	// answered yet.
	requestedAt time.Time
	pending     bool
	failures    int
	// confirmedFence is the fence that the member has confirmed.
	confirmedFence ctposition.Term
}

// proxyReport is what a proxy reported of the group.
type proxyReport struct {
	incarnation ctid.Incarnation
	lastReport  time.Time
	// fence is the fence that it keeps to, with what it acknowledged before.
	fence            ctposition.Term
	lastAcknowledged ctposition.Point
	reachable        bool
	unreachable      bool
}

// Begin starts the machine on a new leader that knows the proxies.
func (m *Machine) Begin(now time.Time, proxies *ProxyTracker) {
	*m = Machine{
		IntervalFactor: m.IntervalFactor,
		startedAt:      now,
		members:        make(map[ctid.Member]*memberState),
		proxies:        proxies,
		reports:        make(map[ctid.Proxy]*proxyReport),
	}
}

// ApplyAnnouncement takes a member's announcement.
func (m *Machine) ApplyAnnouncement(now time.Time, announcement ctserver.Announcement) {
	member, ok := m.members[announcement.Member]
	if !ok || announcement.Incarnation > member.announcement.Incarnation {
		member = &memberState{}
		m.members[announcement.Member] = member
	}
	member.announcement = announcement
	member.announcedAt = now
	for name, other := range m.members {
		if name != announcement.Member && other.announcement.Address == announcement.Address &&
			other.announcement.Incarnation < announcement.Incarnation {
			delete(m.members, name)
		}
	}
}

// DeregisterMember takes a member out that has ended.
func (m *Machine) DeregisterMember(now time.Time, name ctid.Member) {
	if _, ok := m.members[name]; ok {
		delete(m.members, name)
		m.deregisteredAt = now
	}
}

// ApplyReport takes what a proxy reports of the group.
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

// fromRunOf reports whether an account is that of a proxy's present run.
func (r *proxyReport) fromRunOf(proxy *proxyState) bool {
	return r != nil && proxy != nil && r.incarnation == proxy.incarnation
}

// AuthorityExpiry returns until when a report that was sent now grants authority.
func AuthorityExpiry(now time.Time) time.Time {
	return now.Add(ctdrift.UpperBound(AuthorityTTL))
}

// RecordStatus takes a member's answer to a question that was asked at a time.
func (m *Machine) RecordStatus(now time.Time, name ctid.Member, command Command, status ctquery.Status) {
	member, ok := m.members[name]
	if !ok {
		return
	}
	member.pending = false
	member.failures = 0
	member.status, member.answeredAt, member.statusRequestedAt = status, now, member.requestedAt
	m.recordCoveredPoint(member)
	switch c := command.(type) {
	case Pause:
		member.confirmedFence = c.Fence
	case StepDown:
		covered := comparePoints(status.Received, m.coveredPoint) >= 0
		if c.Fence == m.current.fence && status.Role == ctserver.RoleReplica && m.current.steppedDownAt.IsZero() && covered {
			m.current.stepDownPoint, m.current.steppedDownAt = status.Received, now
		}
	}
}

// recordCoveredPoint notes where the primary's log is, once for each time that a proxy fell
// silent: the earlier the place, the more replicas have it.
func (m *Machine) recordCoveredPoint(member *memberState) {
	if member.status.Role != ctserver.RolePrimary {
		return
	}
	outdated := member.status.Term == m.coveredTerm && m.proxies.unreportedUntil.After(m.coveredAt)
	if outdated || member.status.Term > m.coveredTerm {
		m.coveredPoint, m.coveredTerm, m.coveredAt = member.status.Received, member.status.Term, member.statusRequestedAt
	}
}

// Sample returns a point that covers every commit that was acknowledged before a
// time. While a change is under way and nothing is acknowledged, that is the
// latest point that any proxy acknowledged.
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
	return member.status.Received, member.statusRequestedAt, true
}

// RecordFailure notes that a member gave no answer. Gone reports that its process does
// not run.
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

// RecordPromotion takes what came of an order to promote a member.
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

// skip passes a candidate over for a while: it may not have run just then.
func (m *Machine) skip(now time.Time, name ctid.Member) {
	if m.current.skippedUntil == nil {
		m.current.skippedUntil = make(map[ctid.Member]time.Time)
	}
	m.current.skippedUntil[name] = now.Add(candidateRetryDelay)
	m.current.acceptedRequests = 0
}

// skipped reports whether a candidate is passed over.
func (m *Machine) skipped(now time.Time, name ctid.Member) bool {
	return now.Before(m.current.skippedUntil[name])
}
