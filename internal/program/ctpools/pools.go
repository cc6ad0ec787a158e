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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// streamOpenTimeout bounds the opening of a way to another proxy.
	streamOpenTimeout = 300 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after connections could not be
	// opened.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// unansweredTimeout is how long a member may leave every question unanswered before
	// it counts as missed.
	unansweredTimeout = 500 * time.Millisecond
	// reachableTTL is how long after an answer a member counts as reached.
	reachableTTL = 800 * time.Millisecond
	// surplusIdleTimeout is how long a connection beyond the first may rest.
	surplusIdleTimeout = 3 * time.Second
	// slotsPerDial is for how many slots of a member a proxy opens one connection
	// at a time.
	slotsPerDial = 2
	// concurrentStreamOpens is how many ways to carrying proxies are opened at a time, and
	// carriedLimit how many a proxy has for one member.
	concurrentStreamOpens = 4
	maxForwardStreams     = 16
	// reservedForControl is how many of a member's connections are left to
	// control.
	reservedForControl = 4
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

	served         servedStreams
	forwardedCount atomic.Int64
	members        cttable.Table[ctid.Member, memberPool]
}

// memberPool is what a proxy has of one member.
type memberPool struct {
	server ctserver.Announcement
	// leavingSince is since when the member is known to leave; zero where it stays.
	leavingSince time.Time
	idle         []*Conn
	// open counts the connections that are open or being opened, and dialing
	// those that are being opened.
	open    int
	dialing int
	// forwarders are the proxies that hold the member's connections; none where
	// this one does.
	forwarders []netip.AddrPort
	// lastForwarder is the place in the list of the one to go to next.
	lastForwarder int
	limit         int
	waiters       []waiter

	latency    ctplace.Latency
	running    int
	applied    ctposition.Point
	avoidUntil time.Time
	failures   int
	nextDialAt time.Time
	// answeredAt is when the member answered last, and asked since when it has
	// been asked without answering.
	answeredAt      time.Time
	unansweredSince time.Time
}

// waiter is a request that waits for a connection.
type waiter struct {
	ready chan *Conn
	// priority is 0 for the most urgent.
	priority int
}

// enqueue lets a request wait behind those that are as urgent.
func (m *memberPool) enqueue(w waiter) {
	i := len(m.waiters)
	for i > 0 && m.waiters[i-1].priority > w.priority {
		i--
	}
	m.waiters = slices.Insert(m.waiters, i, w)
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
func New(
	dialer Dialer, self ctview.Proxy, transport ctframe.Transport, clock ctclock.Clock, logger zerolog.Logger,
) *Pools {
	return &Pools{
		Dialer: dialer, Self: self, Transport: transport, Clock: clock, Logger: logger,
		members: cttable.Table[ctid.Member, memberPool]{Rank: ctlock.RankMembers},
	}
}

// Acquire lends out a connection to a member, if possible one with the session's
// values. It returns an error of kind cterror.Exhausted where none became free
// in time, and cterror.Unavailable where none can be opened.
func (p *Pools) Acquire(held *ctlock.Held, name ctid.Member, options AcquireOptions) (*Conn, error) {
	var conn *Conn
	var ready chan *Conn
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[name]
		if !ok {
			return
		}
		if conn = m.popIdle(options.State); conn != nil {
			p.markAcquired(m, conn)
			return
		}
		p.dialMore(m)
		if m.open > 0 {
			ready = make(chan *Conn, 1)
			m.enqueue(waiter{ready: ready, priority: options.Priority})
		}
	})
	switch {
	case conn != nil:
		return conn, nil
	case ready == nil:
		return nil, cterror.New(cterror.Unavailable, "no connection to the member can be opened", "try another member")
	}
	return p.awaitConn(held, name, ready, options.Deadline)
}

// awaitConn waits for a connection that is opened or given back.
func (p *Pools) awaitConn(held *ctlock.Held, name ctid.Member, ready chan *Conn, deadline time.Time) (*Conn, error) {
	timer := time.NewTimer(deadline.Sub(p.Clock.Now()))
	defer timer.Stop()
	select {
	case conn, ok := <-ready:
		if !ok {
			return nil, cterror.New(cterror.Unavailable, "no connection to the member can be opened", "try another member")
		}
		return conn, nil
	case <-timer.C:
	}
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok {
			m.waiters = slices.DeleteFunc(m.waiters, func(w waiter) bool { return w.ready == ready })
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

// popIdle takes a connection that rests, if possible one with the session's values;
// those that broke are dropped.
func (m *memberPool) popIdle(state *ctdialog.State) *Conn {
	m.closeBroken()
	best := len(m.idle) - 1
	if best < 0 {
		return nil
	}
	if state != nil {
		for i, c := range slices.Backward(m.idle) {
			if c.executor.matches(state) {
				best = i
				break
			}
		}
	}
	conn := m.idle[best]
	m.idle = slices.Delete(m.idle, best, best+1)
	return conn
}

func (m *memberPool) closeBroken() {
	alive := m.idle[:0]
	for _, c := range m.idle {
		if c.Alive() {
			alive = append(alive, c)
			continue
		}
		c.close()
		m.open--
	}
	clear(m.idle[len(alive):])
	m.idle = alive
}

func (p *Pools) markAcquired(m *memberPool, conn *Conn) {
	conn.acquiredAt = p.Clock.Now()
	m.running++
	if m.unansweredSince.IsZero() {
		m.unansweredSince = conn.acquiredAt
	}
}

// dialMore begins to open a connection where one more is wanted and allowed: few at a
// time, because each takes a slot of the member, and many proxies may want some.
func (p *Pools) dialMore(m *memberPool) {
	now := p.Clock.Now()
	maxDialing := max(1, m.server.Slots/slotsPerDial)
	if len(m.forwarders) > 0 {
		maxDialing = concurrentStreamOpens
	}
	if m.open >= m.limit || m.dialing >= maxDialing || now.Before(m.nextDialAt) {
		return
	}
	m.open++
	m.dialing++
	var forwarder netip.AddrPort
	if len(m.forwarders) > 0 {
		m.lastForwarder++
		forwarder = m.forwarders[m.lastForwarder%len(m.forwarders)]
	}
	go p.dial(m.server, forwarder)
}

// dial opens a connection and hands it to whoever waits.
func (p *Pools) dial(server ctserver.Announcement, forwarder netip.AddrPort) {
	e, err := p.connect(server, forwarder)
	var held ctlock.Held
	if err != nil {
		p.Logger.Info().Str("event", "dial_failed").Str("member", string(server.Member)).
			Stringer("address", server.Address).Str("error", err.Error()).Send()
		p.recordDialFailure(&held, server)
		return
	}
	conn := newConn(server, e)
	p.members.With(&held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[server.Member]
		if !ok || m.server.Incarnation != server.Incarnation {
			conn.close()
			return
		}
		m.dialing--
		m.failures = 0
		m.answeredAt = p.Clock.Now()
		p.assign(m, conn)
		if len(m.waiters) > 0 {
			p.dialMore(m)
		}
	})
}

// connect opens a connection to a member, or a way to a proxy that carries
// queries to it.
func (p *Pools) connect(server ctserver.Announcement, forwarder netip.AddrPort) (executor, error) {
	if forwarder.IsValid() {
		ctx, cancel := context.WithTimeout(context.Background(), streamOpenTimeout)
		defer cancel()
		stream, err := p.Transport.Open(ctx, forwarder)
		if err != nil {
			return nil, err
		}
		return newForwardingExecutor(server.Member, stream, p.Clock), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := p.Dialer.Dial(ctx, server)
	if err != nil {
		return nil, err
	}
	return newDirectExecutor(raw, p.Clock), nil
}

func (p *Pools) recordDialFailure(held *ctlock.Held, server ctserver.Announcement) {
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[server.Member]
		if !ok || m.server.Incarnation != server.Incarnation {
			return
		}
		m.dialing--
		m.open--
		m.failures++
		backoff := min(firstBackoff<<min(m.failures-1, 8), maxBackoff)
		m.nextDialAt = p.Clock.Now().Add(backoff)
		if m.open > 0 {
			return
		}
		for _, w := range m.waiters {
			close(w.ready)
		}
		m.waiters = nil
	})
}

// assign hands a connection to the first that waits, or lets it rest.
func (p *Pools) assign(m *memberPool, conn *Conn) {
	if len(m.waiters) > 0 {
		ready := m.waiters[0].ready
		m.waiters = m.waiters[1:]
		p.markAcquired(m, conn)
		ready <- conn
		return
	}
	if m.open > m.limit {
		conn.close()
		m.open--
		return
	}
	m.idle = append(m.idle, conn)
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
func (p *Pools) Release(held *ctlock.Held, conn *Conn, result Result) {
	if result.Discard || !conn.Alive() {
		conn.close()
	}
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[conn.Member]
		if !ok || m.server.Incarnation != conn.incarnation {
			conn.close()
			return
		}
		now := p.Clock.Now()
		m.running--
		p.recordResult(m, now, result)
		if m.running == 0 {
			m.unansweredSince = time.Time{}
		}
		if conn.Alive() {
			p.assign(m, conn)
			return
		}
		m.open--
		if len(m.waiters) > 0 {
			p.dialMore(m)
		}
	})
}

func (p *Pools) recordResult(m *memberPool, now time.Time, result Result) {
	if !result.Answered {
		return
	}
	m.answeredAt = now
	m.unansweredSince = time.Time{}
	if m.running > 0 {
		m.unansweredSince = now
	}
	if result.Latency > 0 {
		m.latency.Observe(now, result.Latency)
	}
	if !result.Applied.IsZero() {
		m.applied = result.Applied
	}
}

// RecordResult takes what an answer told of a member while its connection stays lent
// out.
func (p *Pools) RecordResult(held *ctlock.Held, name ctid.Member, result Result) {
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok {
			p.recordResult(m, p.Clock.Now(), result)
		}
	})
}

// Avoid makes a member be tried last until a time.
func (p *Pools) Avoid(held *ctlock.Held, name ctid.Member, until time.Time) {
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok && until.After(m.avoidUntil) {
			m.avoidUntil = until
		}
	})
}

func (p *Pools) logLimit(name ctid.Member, limit int) {
	ctlog.Decision(&p.Logger, "share").Str("member", string(name)).Int("connections", limit).Send()
}
