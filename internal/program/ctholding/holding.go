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
	// observeInterval is how often their metrics are set.
	observeInterval = time.Second
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

	members cttable.Table[ctid.Member, member]
	pool    ctpool.Pool[happening]
	last    atomic.Uint64
	running context.Context
	news    func()

	draining atomic.Bool
	// followed is the newest view that was followed. It belongs to the table
	// of members.
	followed ctview.Version
}

// happening is an event of a held member.
type happening struct {
	member ctid.Member
	event  event
}

// New returns a holding without members.
func New(options Options) *Holder {
	h := &Holder{
		Options: options,
		news:    func() {},
		members: cttable.Table[ctid.Member, member]{Rank: ctlock.RankMembers},
	}
	h.pool = ctpool.Pool[happening]{Workers: options.Workers, Handle: h.handle}
	return h
}

// Start starts the workers, which run until ctx ends.
func (h *Holder) Start(ctx context.Context) {
	h.running = ctx
	h.pool.Start()
	go h.tickAll(ctx)
}

// tickAll makes the members look at their deadlines again and again.
func (h *Holder) tickAll(ctx context.Context) {
	var held ctlock.Held
	var observed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.Clock.After(tickInterval):
		}
		now := h.Clock.Now()
		observe := now.Sub(observed) >= observeInterval
		if observe {
			observed = now
		}
		for _, m := range h.expecting(&held, observe) {
			h.put(m, ticked{observe: observe})
		}
	}
}

// expecting returns the held members that something waits for, or all of them.
func (h *Holder) expecting(held *ctlock.Held, all bool) []ctid.Member {
	var names []ctid.Member
	h.members.With(held, func(rows map[ctid.Member]*member) {
		for name, m := range rows {
			if all || m.expects() {
				names = append(names, name)
			}
		}
	})
	return names
}

// OnUrgentChange sets what to call when something happened that control should know at
// once. It is called before Start.
func (h *Holder) OnUrgentChange(news func()) {
	h.news = news
}

// Drain lets go of all members and reports whether their last requests ended
// before ctx did.
func (h *Holder) Drain(ctx context.Context) bool {
	var held ctlock.Held
	h.draining.Store(true)
	h.ApplyView(&held, h.State.View(&held))
	for {
		if len(h.names(&held)) == 0 {
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
	wanted := h.wanted(view)
	var begun []*watch
	h.members.With(held, func(rows map[ctid.Member]*member) {
		if view.Version < h.followed {
			return
		}
		h.followed = view.Version
		for name, announced := range wanted {
			if w := h.take(rows, announced, view); w != nil {
				begun = append(begun, w)
			}
			h.retire(rows[name], view)
			rows[name].hasten()
			wakeUp(rows[name].wakeMeter)
		}
		for name, row := range rows {
			if _, ok := wanted[name]; !ok && !row.leaving {
				row.leaving = true
				row.stop()
				h.put(name, queued{event: ctadmit.Drain{}})
			}
		}
	})
	for _, w := range begun {
		h.logPlacement(w.member, "hold", "highest_rank_in_failure_domain")
		go w.monitor()
		go w.meter()
	}
}

// take holds a member that the view names this proxy for. It returns the watch
// to start, or nil where the member is held already. It is called while the
// table of members is locked, so that the events of the queue keep the order of
// the views.
func (h *Holder) take(
	rows map[ctid.Member]*member, announced ctserver.Announcement, view *ctview.View,
) *watch {
	row, ok := rows[announced.Member]
	if !ok {
		row = newMember(h, announced, view)
		rows[announced.Member] = row
	}
	row.announced = announced
	row.abortEarlier(view.Groups[row.group])
	if ok && !row.leaving {
		return nil
	}
	h.put(announced.Member, queued{event: ctadmit.Resume{}})
	return row.begin()
}

// wanted returns the members that the view names this proxy for.
func (h *Holder) wanted(view *ctview.View) map[ctid.Member]ctserver.Announcement {
	wanted := make(map[ctid.Member]ctserver.Announcement)
	if h.draining.Load() || view.Version == 0 {
		return wanted
	}
	view = view.WithProxy(h.Self)
	for name, announced := range view.Members {
		if announced.FailureDomain != h.Self.FailureDomain {
			continue
		}
		if holder, ok := ctholder.Of(view, name); ok && holder.Name == h.Self.Name {
			wanted[name] = announced
		}
	}
	return wanted
}

func (h *Holder) logPlacement(m *member, decision string, why string) {
	ctlog.Decision(&h.Logger, decision).
		Str("group", string(m.group)).
		Str("member", string(m.name)).
		Str("why", why).
		Send()
}

func (h *Holder) names(held *ctlock.Held) []ctid.Member {
	var names []ctid.Member
	h.members.With(held, func(rows map[ctid.Member]*member) {
		for name := range rows {
			names = append(names, name)
		}
	})
	return names
}

// put hands an event of a member to the workers.
func (h *Holder) put(member ctid.Member, event event) {
	h.pool.Put(ctpool.KeyOf(member), happening{member: member, event: event})
}

// HeldMembers returns the account of the held members that a report carries.
func (h *Holder) HeldMembers(held *ctlock.Held) []ctview.MemberReport {
	var accounts []ctview.MemberReport
	h.members.With(held, func(rows map[ctid.Member]*member) {
		for _, m := range rows {
			if !m.reportable() {
				continue
			}
			accounts = append(accounts, ctview.MemberReport{
				Group:  m.announced.Group,
				Member: m.announced.Member,
				Health: m.health,
				Status: m.status,

				Serving:  m.ageKnown(h.Clock.Now()),
				Draining: m.leaving,
				Leaving:  m.announced.State == ctserver.StateLeaving,
			})
		}
	})
	view := h.State.View(held)
	for i := range accounts {
		a := &accounts[i]
		a.SurrenderedTerm = h.State.SurrenderedTerm(held, a.Group)
		if a.Status.Role == ctserver.RolePrimary {
			term := view.Groups[a.Group].Term
			a.Serving = h.State.HasLease(held, a.Group, term, h.Clock.Now())
		}
	}
	return accounts
}
