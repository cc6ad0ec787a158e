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
	// watchTime is the time between two questions to a primary, and idleTime to
	// a replica, while nothing is amiss.
	watchTime = 400 * time.Millisecond
	idleTime  = 2 * time.Second
	// changeTime is the time between two questions during a change.
	changeTime = 60 * time.Millisecond
	// againTime is the least time between two questions to a member that failed.
	againTime = 100 * time.Millisecond
	// answerTime is how long an answer may take.
	answerTime = 400 * time.Millisecond
	// orderTime is the time between two orders where the first was not taken.
	orderTime = 500 * time.Millisecond
	// effectTime is how long an order that may have been taken may go without an
	// effect, and pendingTime how long what came of one may stay unknown.
	effectTime  = 2500 * time.Millisecond
	pendingTime = 4 * time.Second
	// refuseTime is how long a candidate is passed over after it was refused.
	refuseTime = 2 * time.Second
	// missTime is how long proxies have to miss a primary that answers control
	// before it is replaced.
	missTime = 700 * time.Millisecond
	// calmTime is the least time between two changes for that reason.
	calmTime = 5 * time.Second
	// settleTime is how long a new leader hears announcements before it takes
	// the members that it knows for all.
	settleTime = 2600 * time.Millisecond
	// forgetTime is how long a member counts that is not heard of any more.
	forgetTime = 10 * time.Second
	// forgetProxyTime is how long what a proxy acknowledged counts as unknown after
	// it was heard of last.
	forgetProxyTime = 30 * time.Second
	// followTime is how long replicas may take to receive what a primary that
	// stepped down has.
	followTime = 1500 * time.Millisecond
	// reportTime is how long a proxy's account of a primary counts.
	reportTime = 1200 * time.Millisecond
)

// maxTries is after how many orders that were taken without an effect a candidate
// is passed over.
const maxTries = 3

// The failures after which a member counts as lost.
const (
	// lostFailures is how many, where proxies miss it as well.
	lostFailures = 2
	// aloneFailures is how many, where no proxy says anything.
	aloneFailures = 5
)

// Machine decides on one group. Its zero value knows nothing.
type Machine struct {
	// IntervalFactor stretches the time between two questions while nothing is amiss, so that a
	// leader of many groups can ask them all; 1 where it is 0.
	IntervalFactor int

	began   time.Time
	members map[ctid.Member]*member
	proxies *ProxyTracker
	// accounts are what proxies reported of the group.
	accounts map[ctid.Proxy]*account
	// covered is the place in its log that the primary of a term told when it was
	// asked at a time: all that was acknowledged before is in it.
	covered     ctposition.Point
	coveredTerm ctposition.Term
	coveredAt   time.Time
	// missed is since when too many proxies have missed the primary.
	missed time.Time
	// changed is when the last change ended here, and left when a member went
	// away whose log is gone with it.
	changed time.Time
	left    time.Time
	// turn is what the change under way has come to.
	turn turn
}

// turn is the state of a change that need not be durable.
type turn struct {
	fence ctposition.Term
	began time.Time
	// stepped is the point of the primary that stepped down, and steppedAt when
	// it did.
	stepped   ctposition.Point
	steppedAt time.Time
	// orders counts the orders of this change that were or may have been taken, and
	// ordered is when the last one was sent.
	orders  int
	ordered time.Time
	// pending reports that what came of it is not known yet, and again when the next
	// one may be sent.
	pending bool
	again   time.Time
	// tries counts the orders for the candidate that were taken.
	tries int
	// refused tells until when candidates are passed over, because the service refused
	// them or took their orders without an effect.
	refused map[ctid.Member]time.Time
}

// member is what is known of a member.
type member struct {
	announced ctserver.Announcement
	heard     time.Time
	// status is the answer that came last, to a question asked at answered.
	status   ctquery.Status
	answered time.Time
	// statusAsked is when that question was asked.
	statusAsked time.Time
	// asked is when a question was asked last, and pending whether it is not
	// answered yet.
	asked    time.Time
	pending  bool
	failures int
	// paused is the fence that the member has confirmed.
	paused ctposition.Term
}

// account is what a proxy reported of the group.
type account struct {
	incarnation ctid.Incarnation
	heard       time.Time
	// fenced is the fence that it keeps to, with what it acknowledged before.
	fenced       ctposition.Term
	acknowledged ctposition.Point
	reaches      bool
	misses       bool
}

// Begin starts the machine on a new leader that knows the proxies.
func (m *Machine) Begin(now time.Time, proxies *ProxyTracker) {
	*m = Machine{
		IntervalFactor: m.IntervalFactor,
		began:          now,
		members:        make(map[ctid.Member]*member),
		proxies:        proxies,
		accounts:       make(map[ctid.Proxy]*account),
	}
}

// ApplyAnnouncement takes a member's announcement.
func (m *Machine) ApplyAnnouncement(now time.Time, announced ctserver.Announcement) {
	row, ok := m.members[announced.Member]
	if !ok || announced.Incarnation > row.announced.Incarnation {
		row = &member{}
		m.members[announced.Member] = row
	}
	row.announced = announced
	row.heard = now
	for name, other := range m.members {
		if name != announced.Member && other.announced.Address == announced.Address &&
			other.announced.Incarnation < announced.Incarnation {
			delete(m.members, name)
		}
	}
}

// DeregisterMember takes a member out that has ended.
func (m *Machine) DeregisterMember(now time.Time, name ctid.Member) {
	if _, ok := m.members[name]; ok {
		delete(m.members, name)
		m.left = now
	}
}

// ApplyReport takes what a proxy reports of the group.
func (m *Machine) ApplyReport(now time.Time, group ctview.Group, report *ctview.Report) {
	row, ok := m.accounts[report.Proxy.Name]
	if !ok || report.Proxy.Incarnation != row.incarnation {
		row = &account{incarnation: report.Proxy.Incarnation}
		m.accounts[report.Proxy.Name] = row
	}
	row.heard = now
	row.reaches = slices.Contains(report.Reachable, group.Primary)
	row.misses = slices.Contains(report.Unreachable, group.Primary)
	for _, f := range report.Fences {
		if f.Group == group.Name && f.Fence > row.fenced {
			row.fenced, row.acknowledged = f.Fence, f.LastAcknowledged
		}
	}
}

// of reports whether an account is that of a proxy's present run.
func (a *account) of(present *presence) bool {
	return a != nil && present != nil && a.incarnation == present.incarnation
}

// AuthorityExpiry returns until when a report that was sent now grants authority.
func AuthorityExpiry(now time.Time) time.Time {
	return now.Add(ctdrift.UpperBound(AuthorityTTL))
}

// RecordStatus takes a member's answer to a question that was asked at a time.
func (m *Machine) RecordStatus(now time.Time, name ctid.Member, question Command, status ctquery.Status) {
	row, ok := m.members[name]
	if !ok {
		return
	}
	row.pending = false
	row.failures = 0
	row.status, row.answered, row.statusAsked = status, now, row.asked
	m.cover(row)
	switch q := question.(type) {
	case Pause:
		row.paused = q.Fence
	case StepDown:
		all := compare(status.Received, m.covered) >= 0
		if q.Fence == m.turn.fence && status.Role == ctserver.RoleReplica && m.turn.steppedAt.IsZero() && all {
			m.turn.stepped, m.turn.steppedAt = status.Received, now
		}
	}
}

// cover notes where the primary's log is, once for each time that a proxy fell
// silent: the earlier the place, the more replicas have it.
func (m *Machine) cover(row *member) {
	if row.status.Role != ctserver.RolePrimary {
		return
	}
	due := row.status.Term == m.coveredTerm && m.proxies.mute.After(m.coveredAt)
	if due || row.status.Term > m.coveredTerm {
		m.covered, m.coveredTerm, m.coveredAt = row.status.Received, row.status.Term, row.statusAsked
	}
}

// Sample returns a point that covers every commit that was acknowledged before a
// time. While a change is under way and nothing is acknowledged, that is the
// latest point that any proxy acknowledged.
func (m *Machine) Sample(now time.Time, group ctview.Group) (point ctposition.Point, before time.Time, known bool) {
	if group.ChangingPrimary() {
		quiet, complete := m.quiet(now, group)
		point = ctposition.Later(m.acknowledged(), m.covered)
		return point, now, quiet && complete && m.turn.fence == group.Fence && !point.IsZero()
	}
	row, ok := m.members[group.Primary]
	if !ok || row.status.Role != ctserver.RolePrimary || row.status.Term != group.Term {
		return ctposition.Point{}, time.Time{}, false
	}
	return row.status.Received, row.statusAsked, true
}

// RecordFailure notes that a member gave no answer. Gone reports that its process does
// not run.
func (m *Machine) RecordFailure(name ctid.Member, gone bool) {
	row, ok := m.members[name]
	if !ok {
		return
	}
	row.pending = false
	row.failures++
	if gone {
		row.failures++
	}
}

// RecordPromotion takes what came of an order to promote a member.
func (m *Machine) RecordPromotion(now time.Time, name ctid.Member, outcome PromotionOutcome) {
	m.turn.pending = false
	switch outcome {
	case PromotionUnknown:
		m.turn.again = m.turn.ordered.Add(effectTime)
	case PromotionDeferred:
		m.turn.orders = max(0, m.turn.orders-1)
		m.turn.again = m.turn.ordered.Add(orderTime)
	case PromotionAccepted:
		m.turn.tries++
		m.turn.again = m.turn.ordered.Add(effectTime)
	case PromotionRejected:
		m.turn.orders = max(0, m.turn.orders-1)
		m.refuse(now, name)
	}
}

// refuse passes a candidate over for a while: it may not have run just then.
func (m *Machine) refuse(now time.Time, name ctid.Member) {
	if m.turn.refused == nil {
		m.turn.refused = make(map[ctid.Member]time.Time)
	}
	m.turn.refused[name] = now.Add(refuseTime)
	m.turn.tries = 0
}

// refused reports whether a candidate is passed over.
func (m *Machine) refused(now time.Time, name ctid.Member) bool {
	return now.Before(m.turn.refused[name])
}
