package ctholding

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctholder"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

const (
	// tickInterval is the time between two checks of the members' deadlines.
	tickInterval = 10 * time.Millisecond
	// metricsInterval is the time between two updates of the members' metrics.
	metricsInterval = time.Second
)

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial connects to the member that sent the announcement. The label is the
	// application name that the backend server shows for the connection.
	Dial(ctx context.Context, announcement ctserver.Announcement, label string) (*ctbackend.Conn, error)
}

// Options are the dependencies and settings of a Holder.
type Options struct {
	// Self describes this proxy.
	Self      ctview.Proxy
	State     *ctstate.State
	Dialer    Dialer
	Transport ctframe.Transport
	Clock     ctclock.Clock
	Logger    zerolog.Logger
	Metrics   *ctmetric.Metrics
	// Workers is the number of workers; 0 means one for each processor.
	Workers int
}

// Holder serves the members that this proxy holds.
type Holder struct {
	Options

	members cttable.Table[ctid.Member, member]
	pool    ctpool.Pool[memberEvent]
	// lastExchange is the exchange number that was assigned last.
	lastExchange atomic.Uint64
	// holderCtx is the context given to Start, the parent of all others.
	holderCtx      context.Context
	onUrgentChange func()

	draining atomic.Bool
	// appliedVersion is the version of the newest view that was applied. The lock
	// of the table of members guards it.
	appliedVersion ctview.Version
}

// memberEvent is an event and the held member that it concerns.
type memberEvent struct {
	member ctid.Member
	event  event
}

// New returns a Holder that holds no members yet.
func New(options Options) *Holder {
	h := &Holder{
		Options:        options,
		onUrgentChange: func() {},
		members:        cttable.Table[ctid.Member, member]{Rank: ctlock.RankMembers},
	}
	h.pool = ctpool.Pool[memberEvent]{Workers: options.Workers, Handle: h.handle}
	return h
}

// Start starts the workers, which run until ctx ends.
func (h *Holder) Start(ctx context.Context) {
	h.holderCtx = ctx
	h.pool.Start()
	go h.tickAll(ctx)
}

// tickAll makes the members check their deadlines at each tickInterval, and update
// their metrics at each metricsInterval.
func (h *Holder) tickAll(ctx context.Context) {
	var held ctlock.Held
	var lastUpdate time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.Clock.After(tickInterval):
		}
		now := h.Clock.Now()
		updateMetrics := now.Sub(lastUpdate) >= metricsInterval
		if updateMetrics {
			lastUpdate = now
		}
		for _, m := range h.tickTargets(&held, updateMetrics) {
			h.enqueue(m, ticked{updateMetrics: updateMetrics})
		}
	}
}

// tickTargets returns the held members that have a deadline pending, or all held
// members.
func (h *Holder) tickTargets(held *ctlock.Held, all bool) []ctid.Member {
	var names []ctid.Member
	h.members.With(held, func(members map[ctid.Member]*member) {
		for name, m := range members {
			if all || m.hasDeadline() {
				names = append(names, name)
			}
		}
	})
	return names
}

// OnUrgentChange sets the function that is called after a change that control
// needs to know at once. It must be called before Start.
func (h *Holder) OnUrgentChange(notify func()) {
	h.onUrgentChange = notify
}

// Drain stops holding all members. It waits until their last requests have ended
// and reports whether they did before ctx ended.
func (h *Holder) Drain(ctx context.Context) bool {
	var held ctlock.Held
	h.draining.Store(true)
	h.ApplyView(&held, h.State.View(&held))
	for {
		if len(h.memberNames(&held)) == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-h.Clock.After(tickInterval):
		}
	}
}

// ApplyView starts to hold the members that the view assigns to this proxy, and
// drains the others. A view older than the last applied one changes nothing.
func (h *Holder) ApplyView(held *ctlock.Held, view *ctview.View) {
	wanted := h.assignedMembers(view)
	var started []*monitor
	h.members.With(held, func(members map[ctid.Member]*member) {
		if view.Version < h.appliedVersion {
			return
		}
		h.appliedVersion = view.Version
		for name, announcement := range wanted {
			if mon := h.ensureHeld(members, announcement, view); mon != nil {
				started = append(started, mon)
			}
			h.updateHandover(members[name], view)
			members[name].sampleNow()
			signal(members[name].wakeAgeMeter)
		}
		for name, m := range members {
			if _, ok := wanted[name]; !ok && !m.draining {
				m.draining = true
				m.stopMonitor()
				h.enqueue(name, queueEvent{event: ctadmit.Drain{}})
			}
		}
	})
	for _, mon := range started {
		h.logPlacement(mon.member, "hold", "highest_rank_in_failure_domain")
		go mon.run()
		go mon.measureAge()
	}
}

// ensureHeld holds a member that the view assigns to this proxy. It returns the
// monitor to start, or nil if the member is held already. The caller has locked
// the table of members, which keeps the queue's events in the order of the views.
func (h *Holder) ensureHeld(
	members map[ctid.Member]*member, announcement ctserver.Announcement, view *ctview.View,
) *monitor {
	m, ok := members[announcement.Member]
	if !ok {
		m = newMember(h, announcement, view)
		members[announcement.Member] = m
	}
	m.announcement = announcement
	m.abortEarlierTerms(view.Groups[m.group])
	if ok && !m.draining {
		return nil
	}
	h.enqueue(announcement.Member, queueEvent{event: ctadmit.Resume{}})
	return m.newMonitor()
}

// assignedMembers returns the members that the view assigns to this proxy; none
// while the proxy drains.
func (h *Holder) assignedMembers(view *ctview.View) map[ctid.Member]ctserver.Announcement {
	wanted := make(map[ctid.Member]ctserver.Announcement)
	if h.draining.Load() || view.Version == 0 {
		return wanted
	}
	view = view.WithProxy(h.Self)
	for name, announcement := range view.Members {
		if announcement.FailureDomain != h.Self.FailureDomain {
			continue
		}
		if holder, ok := ctholder.Of(view, name); ok && holder.Name == h.Self.Name {
			wanted[name] = announcement
		}
	}
	return wanted
}

func (h *Holder) logPlacement(m *member, decision string, reason string) {
	ctlog.Decision(&h.Logger, decision).
		Str("group", string(m.group)).
		Str("member", string(m.name)).
		Str("why", reason).
		Send()
}

func (h *Holder) memberNames(held *ctlock.Held) []ctid.Member {
	var names []ctid.Member
	h.members.With(held, func(members map[ctid.Member]*member) {
		for name := range members {
			names = append(names, name)
		}
	})
	return names
}

// enqueue passes an event of a member to the workers. Events of one member are
// handled in order.
func (h *Holder) enqueue(member ctid.Member, event event) {
	h.pool.Put(ctpool.KeyOf(member), memberEvent{member: member, event: event})
}

// HeldMembers returns the status of the held members that this proxy must report to
// control.
func (h *Holder) HeldMembers(held *ctlock.Held) []ctview.MemberReport {
	var reports []ctview.MemberReport
	h.members.With(held, func(members map[ctid.Member]*member) {
		for _, m := range members {
			if !m.reportable() {
				continue
			}
			reports = append(reports, ctview.MemberReport{
				Group:  m.announcement.Group,
				Member: m.announcement.Member,
				Health: m.health,
				Status: m.status,

				Serving:  m.isAgeKnown(h.Clock.Now()),
				Draining: m.draining,
				Leaving:  m.announcement.State == ctserver.StateLeaving,
			})
		}
	})
	view := h.State.View(held)
	for i := range reports {
		r := &reports[i]
		r.SurrenderedTerm = h.State.SurrenderedTerm(held, r.Group)
		if r.Status.Role == ctserver.RolePrimary {
			term := view.Groups[r.Group].Term
			r.Serving = h.State.HasLease(held, r.Group, term, h.Clock.Now())
		}
	}
	return reports
}
