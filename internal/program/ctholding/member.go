package ctholding

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctage"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctconfirm"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctwatch"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// member is the state of a held member. The lock of the table of members guards
// all fields that change after newMember.
type member struct {
	holder *Holder
	// wakeMonitor makes the monitor read the status at once.
	wakeMonitor chan struct{}
	// wakeAgeMeter makes measureAge query the group's position at once.
	wakeAgeMeter chan struct{}
	// stopMonitor stops the current monitor, which has the number monitorNumber.
	stopMonitor   context.CancelFunc
	monitorNumber monitorNumber
	// cancelMember cancels memberCtx, on which the monitors and confirmers of the
	// member depend.
	cancelMember context.CancelFunc
	memberCtx    context.Context
	// confirmers holds the wake channel of the confirmer for each other member of
	// the group.
	confirmers map[ctid.Member]chan struct{}

	name  ctid.Member
	group ctid.Group

	announcement ctserver.Announcement
	demand       demand
	// draining reports that the view assigns the member to this proxy no longer,
	// and that its last requests still run.
	draining bool
	// handoverDeadline is when a primary in a planned handover surrenders its
	// lease, even if requests still run; zero outside a handover.
	handoverDeadline time.Time
	// surrenderedTerm is the term whose lease was surrendered for a handover.
	surrenderedTerm ctposition.Term
	// hasLock reports whether the monitor has the holder's lock on the member.
	hasLock bool
	health  ctview.Health
	status  ctserver.Status
	// sampledAt is the time just before status was requested.
	sampledAt time.Time
	// otherConnections is how many connections of earlier holders are open.
	otherConnections int
	age              ctage.Meter
	queue            ctadmit.Queue
	waitList         ctwatch.Waiters
	confirmations    ctconfirm.Tracker
	idle             []*ctbackend.Conn
	exchanges        map[ctadmit.Exchange]*exchange
	waiters          map[ctwatch.WaiterKey]waiter
	lastWaitKey      ctwatch.WaiterKey
}

func newMember(h *Holder, announcement ctserver.Announcement, view *ctview.View) *member {
	memberCtx, cancel := context.WithCancel(h.holderCtx)
	settings := view.Config.Document.EffectiveSettings(announcement.Group, h.Clock.Now())
	declared, _ := view.Config.Document.Group(announcement.Group)
	maxWaiting := settings.Sessions.QueueDepth
	if maxWaiting == 0 {
		maxWaiting = ctconfig.DefaultQueueDepth
	}
	return &member{
		holder:        h,
		wakeMonitor:   make(chan struct{}, 1),
		wakeAgeMeter:  make(chan struct{}, 1),
		cancelMember:  cancel,
		memberCtx:     memberCtx,
		name:          announcement.Member,
		group:         announcement.Group,
		announcement:  announcement,
		health:        ctview.HealthUnreachable,
		queue:         ctadmit.Queue{Slots: 0, MaxConnections: 0, MaxWaiting: maxWaiting},
		confirmations: ctconfirm.Tracker{GroupSize: max(declared.Size, 1)},
		exchanges:     make(map[ctadmit.Exchange]*exchange),
		waiters:       make(map[ctwatch.WaiterKey]waiter),

		confirmers: make(map[ctid.Member]chan struct{}),
	}
}

// monitorNumber numbers the monitors of a member, so that events of an earlier
// one can be ignored.
type monitorNumber uint64

// monitor polls a member and measures the age of its data, from the time that the
// view assigns the member to this proxy until it no longer does.
type monitor struct {
	*member
	number     monitorNumber
	monitorCtx context.Context
}

// newMonitor returns the monitor for a member that is held for the first time or
// again, and resets the state of an earlier one. The caller has locked the table
// of members and starts the monitor.
func (m *member) newMonitor() *monitor {
	monitorCtx, stop := context.WithCancel(m.memberCtx)
	m.stopMonitor = stop
	m.monitorNumber++
	m.draining = false
	m.hasLock = false
	m.handoverDeadline = time.Time{}
	return &monitor{member: m, number: m.monitorNumber, monitorCtx: monitorCtx}
}

// abortEarlierTerms ends the exchanges of earlier terms of the group. Their writes
// can't be acknowledged any more, and the member may never answer them.
func (m *member) abortEarlierTerms(group ctview.Group) {
	minTerm := max(group.Term, group.Fence)
	for _, x := range m.exchanges {
		if x.first.Term != 0 && x.first.Term < minTerm {
			x.abort()
		}
	}
}

// abortReplicaReads ends the exchanges that the member serves as a replica. Their
// entry proxies then retry on another member.
func (m *member) abortReplicaReads() {
	for _, x := range m.exchanges {
		if x.first.Term == 0 {
			x.abort()
		}
	}
}

// sampleNow makes the monitor read the status at once.
func (m *member) sampleNow() {
	signal(m.wakeMonitor)
}

// requestSamples records that a read needs samples at the interval. If that is
// shorter than the interval so far, the first samples are taken at once. The caller
// has locked the table of members.
func (m *member) requestSamples(now time.Time, interval time.Duration) {
	if m.demand.add(now, interval) {
		signal(m.wakeMonitor)
		signal(m.wakeAgeMeter)
	}
}

// signal wakes the goroutine that receives from the channel, or makes its next
// receive return at once. The channel has a buffer of one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// ageOption returns the age of the member's data, or no value if it is unknown.
func (m *member) ageOption(now time.Time) ctset.Option[time.Duration] {
	if age, known := m.age.Age(now); known {
		return ctset.Some(age)
	}
	return ctset.Option[time.Duration]{}
}

// reportable reports whether this proxy must report the member to control. The
// proxy that has the member's lock or drains it does. So does a proxy that finds
// the member's process gone, because no proxy can have the lock then.
func (m *member) reportable() bool {
	return m.draining || m.hasLock || m.health == ctview.HealthDown
}

// isAgeKnown reports whether the age of the member's data is known.
func (m *member) isAgeKnown(now time.Time) bool {
	_, known := m.age.Age(now)
	return known
}

// limits returns the slots and connections that this holder may use: none without
// the lock, else the member's limits less the connections of earlier holders.
func (m *member) limits() ctadmit.Resize {
	if !m.hasLock {
		return ctadmit.Resize{}
	}
	return ctadmit.Resize{
		Slots:          max(0, m.announcement.Slots-m.otherConnections),
		MaxConnections: max(0, m.announcement.CallerConnections()-m.otherConnections),
	}
}
