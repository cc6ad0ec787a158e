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
	holding *Holder
	// wake makes the monitor ask for the status at once.
	wake chan struct{}
	// wakeMeter makes the meter ask for the group's position at once.
	wakeMeter chan struct{}
	// stop ends the watch that is under way, number tells which one that is.
	stop   context.CancelFunc
	number watchNumber
	// finish ends all that is done for the member; serving ends with it.
	finish  context.CancelFunc
	serving context.Context
	// confirmers are woken when a commit waits for its confirmation.
	confirmers map[ctid.Member]chan struct{}

	name  ctid.Member
	group ctid.Group

	announced ctserver.Announcement
	demand    demand
	leaving   bool
	// retireBy is when a primary that is handed over gives its lease up although
	// it has not ended its work; zero while it is not handed over.
	retireBy time.Time
	// retired is the term whose lease was given up for a handover.
	retired   ctposition.Term
	locked    bool
	health    ctview.Health
	status    ctserver.Status
	sampledAt time.Time
	others    int
	age       ctage.Meter
	queue     ctadmit.Queue
	watch     ctwatch.Waiters
	board     ctconfirm.Tracker
	idle      []*ctbackend.Conn
	exchanges map[ctadmit.Exchange]*exchange
	waiters   map[ctwatch.Key]waiter
	lastKey   ctwatch.Key
}

func newMember(h *Holder, announced ctserver.Announcement, view *ctview.View) *member {
	serving, finish := context.WithCancel(h.running)
	settings := view.Config.Document.EffectiveSettings(announced.Group, h.Clock.Now())
	declared, _ := view.Config.Document.Group(announced.Group)
	depth := settings.Sessions.QueueDepth
	if depth == 0 {
		depth = ctconfig.DefaultQueueDepth
	}
	return &member{
		holding:   h,
		wake:      make(chan struct{}, 1),
		wakeMeter: make(chan struct{}, 1),
		finish:    finish,
		serving:   serving,
		name:      announced.Member,
		group:     announced.Group,
		announced: announced,
		health:    ctview.HealthUnreachable,
		queue:     ctadmit.Queue{Slots: 0, MaxConnections: 0, MaxWaiting: depth},
		board:     ctconfirm.Tracker{GroupSize: max(declared.Size, 1)},
		exchanges: make(map[ctadmit.Exchange]*exchange),
		waiters:   make(map[ctwatch.Key]waiter),

		confirmers: make(map[ctid.Member]chan struct{}),
	}
}

// watchNumber counts the times that a proxy began to hold a member.
type watchNumber uint64

// watch is one time that a proxy holds a member.
type watch struct {
	*member
	number   watchNumber
	watching context.Context
}

// begin begins to hold the member, for the first time or again. It is called
// while the table of members is locked, but for a new member.
func (m *member) begin() *watch {
	watching, stop := context.WithCancel(m.serving)
	m.stop = stop
	m.number++
	m.leaving = false
	m.locked = false
	m.retireBy = time.Time{}
	return &watch{member: m, number: m.number, watching: watching}
}

// abortEarlier ends the exchanges of terms that the group has left: nothing that
// they write can be acknowledged any more, and their member may never answer.
func (m *member) abortEarlier(group ctview.Group) {
	reached := max(group.Term, group.Fence)
	for _, x := range m.exchanges {
		if x.open.Term != 0 && x.open.Term < reached {
			x.abort()
		}
	}
}

// abortReads ends the exchanges that the member serves as a replica, so that
// their requests are tried elsewhere.
func (m *member) abortReads() {
	for _, x := range m.exchanges {
		if x.open.Term == 0 {
			x.abort()
		}
	}
}

// hasten makes the monitor ask for the status at once.
func (m *member) hasten() {
	wakeUp(m.wake)
}

// sampleFor notes that samples are needed every so often, and takes the first
// ones at once where that is more often than they were taken. It is called while
// the table of members is locked.
func (m *member) sampleFor(now time.Time, every time.Duration) {
	if m.demand.ask(now, every) {
		wakeUp(m.wake)
		wakeUp(m.wakeMeter)
	}
}

// wakeUp wakes who waits for the channel, now or next.
func wakeUp(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// knownAge returns the age of the member's data as an option.
func (m *member) knownAge(now time.Time) ctset.Option[time.Duration] {
	if age, known := m.age.Age(now); known {
		return ctset.Some(age)
	}
	return ctset.Option[time.Duration]{}
}

// reportable reports whether control should hear of the member from here: from
// the proxy that has its lock, and from one that finds its process gone, which
// nobody can have the lock of.
func (m *member) reportable() bool {
	return m.leaving || m.locked || m.health == ctview.HealthDown
}

// ageKnown reports whether the age of the member's data is known.
func (m *member) ageKnown(now time.Time) bool {
	_, known := m.age.Age(now)
	return known
}

// limits returns the slots and connections that this holder may use, less what
// an earlier holder still has.
func (m *member) limits() ctadmit.Resize {
	if !m.locked {
		return ctadmit.Resize{}
	}
	return ctadmit.Resize{
		Slots:          max(0, m.announced.Slots-m.others),
		MaxConnections: max(0, m.announced.CallerConnections()-m.others),
	}
}
