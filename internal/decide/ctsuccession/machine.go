package ctsuccession

import (
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
	// AuthorityTime is how long a proxy may act on its view after it reported.
	AuthorityTime = 2500 * time.Millisecond
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
	// orderTime is the time between two orders of the same promotion.
	orderTime = 500 * time.Millisecond
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

// The failures after which a member counts as lost.
const (
	// lostFailures is how many, where proxies miss it as well.
	lostFailures = 2
	// aloneFailures is how many, where no proxy says anything.
	aloneFailures = 5
)

// Machine decides on one group. Its zero value knows nothing.
type Machine struct {
	began   time.Time
	members map[ctid.Member]*member
	proxies map[ctid.Proxy]*proxy
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
	// ordered is when the promotion was ordered last, and accepted whether the
	// order was taken.
	ordered  time.Time
	accepted bool
	// refused lists the candidates that the service refused.
	refused map[ctid.Member]bool
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

// proxy is what is known of a proxy.
type proxy struct {
	incarnation ctid.Incarnation
	// until is when its authority ends, and heard when it last reported.
	until time.Time
	heard time.Time
	// fenced is the fence that it keeps to, with what it acknowledged before.
	fenced       ctposition.Term
	acknowledged ctposition.Point
	reaches      bool
	misses       bool
}

// Begin starts the machine on a new leader.
func (m *Machine) Begin(now time.Time) {
	*m = Machine{
		began:   now,
		members: make(map[ctid.Member]*member),
		proxies: make(map[ctid.Proxy]*proxy),
	}
}

// Hear takes a member's announcement.
func (m *Machine) Hear(now time.Time, announced ctserver.Announcement) {
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

// Leave takes a member out that has ended.
func (m *Machine) Leave(now time.Time, name ctid.Member) {
	if _, ok := m.members[name]; ok {
		delete(m.members, name)
		m.left = now
	}
}

// Report takes what a proxy reports of the group, and grants it authority until
// a time.
func (m *Machine) Report(now time.Time, group ctview.Group, report *ctview.Report, until time.Time) {
	row, ok := m.proxies[report.Proxy.Name]
	if !ok {
		row = &proxy{}
		m.proxies[report.Proxy.Name] = row
	}
	if report.Proxy.Incarnation != row.incarnation {
		// Its clock may have been set back before it started again: whatever the
		// order of incarnations, it has authority and keeps to no fence yet.
		*row = proxy{incarnation: report.Proxy.Incarnation, until: row.until}
	}
	row.heard = now
	if until.After(row.until) {
		row.until = until
	}
	if report.Goodbye {
		row.until = time.Time{}
	}
	row.reaches, row.misses = false, false
	for _, name := range report.Reaches {
		row.reaches = row.reaches || name == group.Primary
	}
	for _, name := range report.Misses {
		row.misses = row.misses || name == group.Primary
	}
	for _, f := range report.Fenced {
		if f.Group == group.Name && f.Fence > row.fenced {
			row.fenced, row.acknowledged = f.Fence, f.Acknowledged
		}
	}
}

// Until returns until when a report that was sent now grants authority.
func Until(now time.Time) time.Time {
	return now.Add(ctdrift.AtMost(AuthorityTime))
}

// Answered takes a member's answer to a question that was asked at a time.
func (m *Machine) Answered(now time.Time, name ctid.Member, question Question, status ctquery.Status) {
	row, ok := m.members[name]
	if !ok {
		return
	}
	row.pending = false
	row.failures = 0
	row.status, row.answered, row.statusAsked = status, now, row.asked
	switch q := question.(type) {
	case Pause:
		row.paused = q.Fence
	case StepDown:
		if q.Fence == m.turn.fence && status.Role == ctserver.RoleReplica && m.turn.steppedAt.IsZero() {
			m.turn.stepped, m.turn.steppedAt = status.Received, now
		}
	}
}

// Sample returns a point that covers every commit that was acknowledged before a
// time. While a change is under way and nothing is acknowledged, that is the
// latest point that any proxy acknowledged.
func (m *Machine) Sample(now time.Time, group ctview.Group) (point ctposition.Point, before time.Time, known bool) {
	if group.Changing() {
		quiet, complete := m.quiet(now, group)
		point = m.acknowledged()
		return point, now, quiet && complete && m.turn.fence == group.Fence && !point.Zero()
	}
	row, ok := m.members[group.Primary]
	if !ok || row.status.Role != ctserver.RolePrimary || row.status.Term != group.Term {
		return ctposition.Point{}, time.Time{}, false
	}
	return row.status.Received, row.statusAsked, true
}

// Failed notes that a member gave no answer. Gone reports that its process does
// not run.
func (m *Machine) Failed(name ctid.Member, gone bool) {
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

// Ordered takes what came of an order to promote a member.
func (m *Machine) Ordered(name ctid.Member, outcome OrderOutcome) {
	switch outcome {
	case OrderUnknown:
	case OrderTaken:
		m.turn.accepted = true
	case OrderRefused:
		if m.turn.refused == nil {
			m.turn.refused = make(map[ctid.Member]bool)
		}
		m.turn.refused[name] = true
	}
}
