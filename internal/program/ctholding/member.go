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

// member is a held member. Its fields are read and changed only while the table
// of members is locked, but for those that do not change after newMember.
type member struct {
	holder *Holder
	// wakeMonitor makes the monitor ask for the status at once.
	wakeMonitor chan struct{}
	// wakeMeter makes the meter ask for the group's position at once.
	wakeMeter chan struct{}
	// stopMonitor ends the watch that is under way, number tells which one that is.
	stopMonitor   context.CancelFunc
	monitorNumber monitorNumber
	// cancelMember ends all that is done for the member; serving ends with it.
	cancelMember context.CancelFunc
	memberCtx    context.Context
	// confirmers are woken when a commit waits for its confirmation.
	confirmers map[ctid.Member]chan struct{}

	name  ctid.Member
	group ctid.Group

	announcement ctserver.Announcement
	demand       demand
	draining     bool
	// handoverDeadline is when a primary that is handed over gives its lease up although
	// it has not ended its work; zero while it is not handed over.
	handoverDeadline time.Time
	// surrenderedTerm is the term whose lease was given up for a handover.
	surrenderedTerm  ctposition.Term
	hasLock          bool
	health           ctview.Health
	status           ctserver.Status
	sampledAt        time.Time
	otherConnections int
	age              ctage.Meter
	queue            ctadmit.Queue
	waitList         ctwatch.Waiters
	confirmations    ctconfirm.Tracker
	idle             []*ctbackend.Conn
	exchanges        map[ctadmit.Exchange]*exchange
	waiters          map[ctwatch.Key]waiter
	lastWaitKey      ctwatch.Key
}

func newMember(h *Holder, announcement ctserver.Announcement, view *ctview.View) *member {
	serving, finish := context.WithCancel(h.holderCtx)
	settings := view.Config.Document.EffectiveSettings(announcement.Group, h.Clock.Now())
	declared, _ := view.Config.Document.Group(announcement.Group)
	maxWaiting := settings.Sessions.QueueDepth
	if maxWaiting == 0 {
		maxWaiting = ctconfig.DefaultQueueDepth
	}
	return &member{
		holder:        h,
		wakeMonitor:   make(chan struct{}, 1),
		wakeMeter:     make(chan struct{}, 1),
		cancelMember:  finish,
		memberCtx:     serving,
		name:          announcement.Member,
		group:         announcement.Group,
		announcement:  announcement,
		health:        ctview.HealthUnreachable,
		queue:         ctadmit.Queue{Slots: 0, MaxConnections: 0, MaxWaiting: maxWaiting},
		confirmations: ctconfirm.Tracker{GroupSize: max(declared.Size, 1)},
		exchanges:     make(map[ctadmit.Exchange]*exchange),
		waiters:       make(map[ctwatch.Key]waiter),

		confirmers: make(map[ctid.Member]chan struct{}),
	}
}

// monitorNumber counts the times that a proxy began to hold a member.
type monitorNumber uint64

// monitor is one time that a proxy holds a member.
type monitor struct {
	*member
	number     monitorNumber
	monitorCtx context.Context
}

// newMonitor begins to hold the member, for the first time or again. It is called
// while the table of members is locked, but for a new member.
func (m *member) newMonitor() *monitor {
	watching, stop := context.WithCancel(m.memberCtx)
	m.stopMonitor = stop
	m.monitorNumber++
	m.draining = false
	m.hasLock = false
	m.handoverDeadline = time.Time{}
	return &monitor{member: m, number: m.monitorNumber, monitorCtx: watching}
}

// abortEarlierTerms ends the exchanges of terms that the group has left: nothing that
// they write can be acknowledged any more, and their member may never answer.
func (m *member) abortEarlierTerms(group ctview.Group) {
	minTerm := max(group.Term, group.Fence)
	for _, x := range m.exchanges {
		if x.first.Term != 0 && x.first.Term < minTerm {
			x.abort()
		}
	}
}

// abortReplicaReads ends the exchanges that the member serves as a replica, so that
// their requests are tried elsewhere.
func (m *member) abortReplicaReads() {
	for _, x := range m.exchanges {
		if x.first.Term == 0 {
			x.abort()
		}
	}
}

// sampleNow makes the monitor ask for the status at once.
func (m *member) sampleNow() {
	signal(m.wakeMonitor)
}

// requestSamples notes that samples are needed every so often, and takes the first
// ones at once where that is more often than they were taken. It is called while
// the table of members is locked.
func (m *member) requestSamples(now time.Time, interval time.Duration) {
	if m.demand.add(now, interval) {
		signal(m.wakeMonitor)
		signal(m.wakeMeter)
	}
}

// signal wakes who waits for the channel, now or next.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// ageOption returns the age of the member's data as an option.
func (m *member) ageOption(now time.Time) ctset.Option[time.Duration] {
	if age, known := m.age.Age(now); known {
		return ctset.Some(age)
	}
	return ctset.Option[time.Duration]{}
}

// reportable reports whether control should hear of the member from here: from
// the proxy that has its lock, and from one that finds its process gone, which
// nobody can have the lock of.
func (m *member) reportable() bool {
	return m.draining || m.hasLock || m.health == ctview.HealthDown
}

// isAgeKnown reports whether the age of the member's data is known.
func (m *member) isAgeKnown(now time.Time) bool {
	_, known := m.age.Age(now)
	return known
}

// limits returns the slots and connections that this holder may use, less what
// an earlier holder still has.
func (m *member) limits() ctadmit.Resize {
	if !m.hasLock {
		return ctadmit.Resize{}
	}
	return ctadmit.Resize{
		Slots:          max(0, m.announcement.Slots-m.otherConnections),
		MaxConnections: max(0, m.announcement.CallerConnections()-m.otherConnections),
	}
}
