package ctpools

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// The times and sizes of pools.
const (
	// dialTime bounds the opening of a connection.
	dialTime = time.Second
	// carrierTime bounds the opening of a way to another proxy.
	carrierTime = 300 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after connections could not be
	// opened.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// silentTime is how long a member may leave every question unanswered before
	// it counts as missed.
	silentTime = 500 * time.Millisecond
	// reachTime is how long after an answer a member counts as reached.
	reachTime = 800 * time.Millisecond
	// surplusTime is how long a connection beyond the first may rest.
	surplusTime = 3 * time.Second
	// slotsPerDial is for how many slots of a member a proxy opens one connection
	// at a time.
	slotsPerDial = 2
	// carriedDials is how many ways to carrying proxies are opened at a time, and
	// carriedLimit how many a proxy has for one member.
	carriedDials = 4
	carriedLimit = 16
	// controlConnections is how many of a member's connections are left to
	// control.
	controlConnections = 4
)

// Dialer opens connections to members.
type Dialer interface {
	Dial(ctx context.Context, server ctserver.Announcement) (RawConn, error)
}

// Pools holds a proxy's connections to all members. Its exported fields are set
// before use.
type Pools struct {
	Dialer Dialer
	Clock  ctclock.Clock
	Logger zerolog.Logger
	// Self and Ways let queries be carried by proxies of the members' failure
	// domains, where the members' connections do not suffice for all proxies;
	// Ways is nil where they always do.
	Self      ctview.Proxy
	Transport ctframe.Transport

	ways     ways
	carrying atomic.Int64
	rows     cttable.Table[ctid.Member, row]
}

// row is what a proxy has of one member.
type row struct {
	server ctserver.Announcement
	// leaving is since when the member is known to leave; zero where it stays.
	leaving time.Time
	idle    []*Conn
	// open counts the connections that are open or being opened, and dialing
	// those that are being opened.
	open    int
	dialing int
	// carriers are the proxies that hold the member's connections; none where
	// this one does.
	carriers []netip.AddrPort
	// carrier is the place in the list of the one to go to next.
	carrier int
	limit   int
	waiters []waiter

	load     ctplace.Latency
	running  int
	applied  ctposition.Point
	avoid    time.Time
	failures int
	dialAt   time.Time
	// answered is when the member answered last, and asked since when it has
	// been asked without answering.
	answered time.Time
	asked    time.Time
}

// waiter is a request that waits for a connection.
type waiter struct {
	ready chan *Conn
	// priority is 0 for the most urgent.
	priority int
}

// enqueue lets a request wait behind those that are as urgent.
func (r *row) enqueue(w waiter) {
	place := len(r.waiters)
	for place > 0 && r.waiters[place-1].priority > w.priority {
		place--
	}
	r.waiters = slices.Insert(r.waiters, place, w)
}

// AcquireOptions is what a request wants of a connection.
type AcquireOptions struct {
	// State is the session's state, which a connection may hold already; nil for
	// none.
	State *ctdialog.State
	// Priority is 0 for the most urgent requests, which go first.
	Priority int
	// Deadline is until when the request waits.
	Deadline time.Time
}

// New returns pools without members.
func New(dialer Dialer, self ctview.Proxy, ways ctframe.Transport, clock ctclock.Clock, logger zerolog.Logger) *Pools {
	return &Pools{
		Dialer: dialer, Self: self, Transport: ways, Clock: clock, Logger: logger,
		rows: cttable.Table[ctid.Member, row]{Rank: ctlock.RankMembers},
	}
}

// Acquire lends out a connection to a member, if possible one with the session's
// values. It returns an error of kind cterror.Exhausted where none became free
// in time, and cterror.Unavailable where none can be opened.
func (p *Pools) Acquire(held *ctlock.Held, name ctid.Member, wish AcquireOptions) (*Conn, error) {
	var conn *Conn
	var ready chan *Conn
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		r, ok := rows[name]
		if !ok {
			return
		}
		if conn = r.pick(wish.State); conn != nil {
			p.lend(r, conn)
			return
		}
		p.grow(r)
		if r.open > 0 {
			ready = make(chan *Conn, 1)
			r.enqueue(waiter{ready: ready, priority: wish.Priority})
		}
	})
	switch {
	case conn != nil:
		return conn, nil
	case ready == nil:
		return nil, cterror.New(cterror.Unavailable, "no connection to the member can be opened", "try another member")
	}
	return p.await(held, name, ready, wish.Deadline)
}

// await waits for a connection that is opened or given back.
func (p *Pools) await(held *ctlock.Held, name ctid.Member, ready chan *Conn, until time.Time) (*Conn, error) {
	timer := time.NewTimer(until.Sub(p.Clock.Now()))
	defer timer.Stop()
	select {
	case conn, ok := <-ready:
		if !ok {
			return nil, cterror.New(cterror.Unavailable, "no connection to the member can be opened", "try another member")
		}
		return conn, nil
	case <-timer.C:
	}
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		if r, ok := rows[name]; ok {
			r.waiters = slices.DeleteFunc(r.waiters, func(w waiter) bool { return w.ready == ready })
		}
	})
	select {
	case conn, ok := <-ready:
		if ok {
			return conn, nil
		}
	default:
	}
	return nil, cterror.New(cterror.Exhausted, "no connection to the member became free in time", "try again soon")
}

// pick takes a connection that rests, if possible one with the session's values;
// those that broke are dropped.
func (r *row) pick(state *ctdialog.State) *Conn {
	r.dropBroken()
	best := len(r.idle) - 1
	if best < 0 {
		return nil
	}
	if state != nil {
		for i, c := range slices.Backward(r.idle) {
			if c.channel.matches(state) {
				best = i
				break
			}
		}
	}
	conn := r.idle[best]
	r.idle = slices.Delete(r.idle, best, best+1)
	return conn
}

func (r *row) dropBroken() {
	alive := r.idle[:0]
	for _, c := range r.idle {
		if c.Alive() {
			alive = append(alive, c)
			continue
		}
		c.close()
		r.open--
	}
	clear(r.idle[len(alive):])
	r.idle = alive
}

func (p *Pools) lend(r *row, conn *Conn) {
	conn.used = p.Clock.Now()
	r.running++
	if r.asked.IsZero() {
		r.asked = conn.used
	}
}

// grow begins to open a connection where one more is wanted and allowed: few at a
// time, because each takes a slot of the member, and many proxies may want some.
func (p *Pools) grow(r *row) {
	now := p.Clock.Now()
	atOnce := max(1, r.server.Slots/slotsPerDial)
	if len(r.carriers) > 0 {
		atOnce = carriedDials
	}
	if r.open >= r.limit || r.dialing >= atOnce || now.Before(r.dialAt) {
		return
	}
	r.open++
	r.dialing++
	var carrier netip.AddrPort
	if len(r.carriers) > 0 {
		r.carrier++
		carrier = r.carriers[r.carrier%len(r.carriers)]
	}
	go p.dial(r.server, carrier)
}

// dial opens a connection and hands it to whoever waits.
func (p *Pools) dial(server ctserver.Announcement, carrier netip.AddrPort) {
	c, err := p.connect(server, carrier)
	var held ctlock.Held
	if err != nil {
		p.Logger.Info().Str("event", "dial_failed").Str("member", string(server.Member)).
			Stringer("address", server.Address).Str("error", err.Error()).Send()
		p.dialFailed(&held, server)
		return
	}
	conn := newConn(server, c)
	p.rows.With(&held, func(rows map[ctid.Member]*row) {
		r, ok := rows[server.Member]
		if !ok || r.server.Incarnation != server.Incarnation {
			conn.close()
			return
		}
		r.dialing--
		r.failures = 0
		r.answered = p.Clock.Now()
		p.give(r, conn)
		if len(r.waiters) > 0 {
			p.grow(r)
		}
	})
}

// connect opens a connection to a member, or a way to a proxy that carries
// queries to it.
func (p *Pools) connect(server ctserver.Announcement, carrier netip.AddrPort) (channel, error) {
	if carrier.IsValid() {
		ctx, cancel := context.WithTimeout(context.Background(), carrierTime)
		defer cancel()
		way, err := p.Transport.Open(ctx, carrier)
		if err != nil {
			return nil, err
		}
		return newCarried(server.Member, way, p.Clock), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTime)
	defer cancel()
	link, err := p.Dialer.Dial(ctx, server)
	if err != nil {
		return nil, err
	}
	return newDirect(link, p.Clock), nil
}

func (p *Pools) dialFailed(held *ctlock.Held, server ctserver.Announcement) {
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		r, ok := rows[server.Member]
		if !ok || r.server.Incarnation != server.Incarnation {
			return
		}
		r.dialing--
		r.open--
		r.failures++
		backoff := min(firstBackoff<<min(r.failures-1, 8), maxBackoff)
		r.dialAt = p.Clock.Now().Add(backoff)
		if r.open > 0 {
			return
		}
		for _, w := range r.waiters {
			close(w.ready)
		}
		r.waiters = nil
	})
}

// give hands a connection to the first that waits, or lets it rest.
func (p *Pools) give(r *row, conn *Conn) {
	if len(r.waiters) > 0 {
		ready := r.waiters[0].ready
		r.waiters = r.waiters[1:]
		p.lend(r, conn)
		ready <- conn
		return
	}
	if r.open > r.limit {
		conn.close()
		r.open--
		return
	}
	r.idle = append(r.idle, conn)
}

// Result tells what a connection came back from.
type Result struct {
	// Discard reports that the connection must not be used again.
	Discard bool
	// Answered reports that the member answered, and Took how long it took.
	Answered bool
	Latency  time.Duration
	Applied  ctposition.Point
}

// Release takes a connection back.
func (p *Pools) Release(held *ctlock.Held, conn *Conn, use Result) {
	if use.Discard || !conn.Alive() {
		conn.close()
	}
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		r, ok := rows[conn.Member]
		if !ok || r.server.Incarnation != conn.incarnation {
			conn.close()
			return
		}
		now := p.Clock.Now()
		r.running--
		p.note(r, now, use)
		if r.running == 0 {
			r.asked = time.Time{}
		}
		if conn.Alive() {
			p.give(r, conn)
			return
		}
		r.open--
		if len(r.waiters) > 0 {
			p.grow(r)
		}
	})
}

func (p *Pools) note(r *row, now time.Time, use Result) {
	if !use.Answered {
		return
	}
	r.answered = now
	r.asked = time.Time{}
	if r.running > 0 {
		r.asked = now
	}
	if use.Latency > 0 {
		r.load.Observe(now, use.Latency)
	}
	if !use.Applied.IsZero() {
		r.applied = use.Applied
	}
}

// RecordResult takes what an answer told of a member while its connection stays lent
// out.
func (p *Pools) RecordResult(held *ctlock.Held, name ctid.Member, use Result) {
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		if r, ok := rows[name]; ok {
			p.note(r, p.Clock.Now(), use)
		}
	})
}

// Avoid makes a member be tried last until a time.
func (p *Pools) Avoid(held *ctlock.Held, name ctid.Member, until time.Time) {
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		if r, ok := rows[name]; ok && until.After(r.avoid) {
			r.avoid = until
		}
	})
}

func (p *Pools) logLimit(name ctid.Member, limit int) {
	ctlog.Decision(&p.Logger, "share").Str("member", string(name)).Int("connections", limit).Send()
}
