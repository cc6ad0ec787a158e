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
	// tickInterval is how often deadlines of held members are looked at.
	tickInterval = 10 * time.Millisecond
	// metricsInterval is how often their metrics are set.
	metricsInterval = time.Second
)

// Dialer opens connections to backend servers.
type Dialer interface {
	Dial(ctx context.Context, announcement ctserver.Announcement, label string) (*ctbackend.Conn, error)
}

// Options are the parts and settings of a Holding.
type Options struct {
	// Self describes this proxy.
	Self      ctview.Proxy
	State     *ctstate.State
	Dialer    Dialer
	Transport ctframe.Transport
	Clock     ctclock.Clock
	Logger    zerolog.Logger
	Metrics   *ctmetric.Metrics
	// Workers is the number of workers; one a processor where it is 0.
	Workers int
}

// Holder serves the members that this proxy holds.
type Holder struct {
	Options

	members        cttable.Table[ctid.Member, member]
	pool           ctpool.Pool[memberEvent]
	lastExchange   atomic.Uint64
	holderCtx      context.Context
	onUrgentChange func()

	draining atomic.Bool
	// appliedVersion is the newest view that was followed. It belongs to the table
	// of members.
	appliedVersion ctview.Version
}

// memberEvent is an event of a held member.
type memberEvent struct {
	member ctid.Member
	event  event
}

// New returns a holding without members.
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

// tickAll makes the members look at their deadlines again and again.
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

// tickTargets returns the held members that something waits for, or all of them.
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

// OnUrgentChange sets what to call when something happened that control should know at
// once. It is called before Start.
func (h *Holder) OnUrgentChange(notify func()) {
	h.onUrgentChange = notify
}

// Drain lets go of all members and reports whether their last requests ended
// before ctx did.
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

// ApplyView starts to hold the members that the view names this proxy for, and
// lets go of the others. A view that is older than one that was followed before
// changes nothing.
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
			signal(members[name].wakeMeter)
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

// ensureHeld holds a member that the view names this proxy for. It returns the watch
// to start, or nil where the member is held already. It is called while the
// table of members is locked, so that the events of the queue keep the order of
// the views.
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

// assignedMembers returns the members that the view names this proxy for.
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

// enqueue hands an event of a member to the workers.
func (h *Holder) enqueue(member ctid.Member, event event) {
	h.pool.Put(ctpool.KeyOf(member), memberEvent{member: member, event: event})
}

// HeldMembers returns the account of the held members that a report carries.
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
