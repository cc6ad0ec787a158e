package ctpools

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmission"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctstop"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// Limits of the pools: opening, idling and sharing of connections.
const (
	// dialTimeout bounds the opening of a connection to a member.
	dialTimeout = time.Second
	// streamOpenTimeout bounds the opening of a stream to a forwarding proxy.
	streamOpenTimeout = 300 * time.Millisecond
	// unansweredTimeout is how long a member may leave all queries unanswered before
	// it counts as unreachable.
	unansweredTimeout = 500 * time.Millisecond
	// reachableTTL is how long a member counts as reachable after an answer.
	reachableTTL = 800 * time.Millisecond
	// surplusIdleTimeout is how long after it was last acquired an idle connection may
	// stay open before Maintain closes it. One connection to each member of a group in
	// use is exempt.
	surplusIdleTimeout = 3 * time.Second
	// slotsPerDial sets how many connections a proxy opens to a member at the same
	// time: one for this many of the member's slots.
	slotsPerDial = 2
	// concurrentStreamOpens is how many streams to forwarding proxies are opened at the
	// same time, and maxForwardStreams is how many a proxy has for one member.
	concurrentStreamOpens = 4
	maxForwardStreams     = 16
	// settleTimeout bounds the confirmation of an answer after its connection was released.
	settleTimeout = time.Second
	// reservedForControl is how many of a member's connections the proxies leave to
	// control.
	reservedForControl = 4
)

// Dialer opens connections to members. An attempt ends with an error when ctx ends.
type Dialer interface {
	// Dial opens a connection that serves a workspace, or callers without one.
	Dial(ctx context.Context, server ctserver.Announcement, workspace ctid.Workspace) (RawConn, error)
}

// Quotas limits how many operations of each workspace start.
type Quotas interface {
	// Admit reserves room for an operation of a workspace. If the workspace's limit is
	// reached, it returns an error of kind cterror.RateLimited. It may wait until deadline
	// to learn this proxy's share of the limit, and returns an error of kind
	// cterror.Exhausted if there is none by then. Start or Cancel must follow.
	Admit(held *ctlock.Held, workspace ctid.Workspace, deadline time.Time) error
	// Start counts an admitted operation that starts now, after it has waited for a
	// connection, and returns the time. It returns the errors of Admit if this proxy's
	// share does not allow the operation any more; there is no reservation then.
	Start(held *ctlock.Held, workspace ctid.Workspace) (time.Time, error)
	// Cancel gives up the reservation of an operation that does not start.
	Cancel(held *ctlock.Held, workspace ctid.Workspace)
	// Refund takes back the operation that Start counted at a time, because it did not run.
	Refund(held *ctlock.Held, workspace ctid.Workspace, startedAt time.Time)
}

// Pools holds a proxy's connections to all members. Its exported fields are set
// before use. Its methods may be called from several goroutines.
type Pools struct {
	Dialer Dialer
	Clock  ctclock.Clock
	Logger zerolog.Logger
	// Self describes this proxy. Transport opens the streams to the proxies that
	// forward queries to members with too few connections for all proxies. Without
	// a Transport, each proxy has connections of its own to every member.
	Self      ctview.Proxy
	Transport ctframe.Transport
	// Stop says how far the process's planned stop has come.
	Stop ctstop.Stop
	// Metrics is nil if nothing is counted.
	Metrics *ctmetric.Metrics
	// Policy says how members are selected; nil stands for ctplace.Balanced if the configuration
	// requires keys, and else for ctplace.ByLatency.
	Policy ctplace.Policy
	// Quotas is nil if workspaces have no limits.
	Quotas Quotas
	// Random spreads the retries of proxies over time.
	Random ctretry.Random
	// startedAt is when the pools were made.
	startedAt time.Time

	// connectionCount numbers the connections to members.
	connectionCount atomic.Uint64

	served         servedStreams
	forwardedCount atomic.Int64
	// answeringCount counts the queries of other proxies that have been read and not
	// answered yet.
	answeringCount atomic.Int64
	members        cttable.Table[ctid.Member, memberPool]
	peers          cttable.Table[netip.AddrPort, peerStreams]
	// balanced reports whether the policy in force is ctplace.Balanced.
	balanced atomic.Bool
	// ownership says which proxies open the connections of each workspace. It is nil while
	// connections serve callers of any workspace.
	ownership atomic.Pointer[ownership]
	// firstViewAt is when the first view was applied; nil before.
	firstViewAt atomic.Pointer[time.Time]
	// membersKnown is closed once a view with members was applied.
	membersKnown     chan struct{}
	membersKnownOnce sync.Once
}

// memberPool holds the connections to one member and what is known of the member.
type memberPool struct {
	server ctserver.Announcement
	// leavingSince is when a view first showed that the member leaves; zero while it
	// stays.
	leavingSince time.Time
	// idle holds the connections that no user has; the last one was released last.
	idle []*Conn
	// open counts the connections that are open or being opened, and dialing
	// counts only those that are being opened.
	open    int
	dialing int
	// dialingFor counts the connections that are being opened, by workspace.
	dialingFor map[ctid.Workspace]int
	// closedInDoubt counts the connections that were closed because an answer was in
	// doubt, and not opened again since.
	closedInDoubt int
	// forwarders are the proxies that forward queries to the member. The list is
	// empty if this proxy owns connections to it.
	forwarders []netip.AddrPort
	// forwarderIndex is the index of the proxy that the last stream was opened to,
	// modulo the length of forwarders.
	forwarderIndex int
	// remote reports whether other proxies open the connections to the member, by workspace.
	// Then this proxy has none, and reaches the member over the streams to those proxies.
	remote bool
	// standby reports whether this proxy owns no workspace's connections to the member, and opens
	// one only for queries that others forward to it.
	standby bool
	// limit is how many connections may be open.
	limit int
	// queue holds the requests that wait for a connection, and ready the channels that receive
	// the connections. A channel is closed if none can be opened.
	queue ctadmission.Queue
	ready map[ctadmission.Ticket]chan *Conn
	// statements limits the statements in flight on this proxy's own connections, and opening
	// paces the attempts to open connections.
	statements ctadmission.Limit
	opening    ctadmission.Opening
	// wakesAt is when serveWaiters runs again after a pause; zero if it doesn't.
	wakesAt time.Time
	// overdueAt is when a connection was last opened for a request that was overdue.
	overdueAt time.Time
	// loggedBound is the bound of statements that was logged last.
	loggedBound int

	latency  ctplace.Latency
	hint     ctplace.Hint
	outcomes ctplace.Outcomes
	// running counts the connections that users have acquired.
	running int
	// applied is the point that the member's last answer reported.
	applied ctposition.Point
	// avoidUntil is until when the member is used only as a last resort.
	avoidUntil time.Time
	// nextReachAt is before when reachRemote does nothing.
	nextReachAt time.Time
	// answeredAt is when the member last answered a query or a connection was opened.
	// unansweredSince is since when acquired connections have brought no answer; zero
	// while none is acquired.
	answeredAt      time.Time
	unansweredSince time.Time
}

// Priority orders the requests that wait for a connection.
type Priority = ctadmission.Priority

// AcquireOptions says which connection a request prefers and how it waits for one.
type AcquireOptions struct {
	// State is the session's state. Acquire prefers a connection that has its values
	// already. It is nil if the request depends on no state.
	State *ctdialog.State
	// Workspace is the one whose query the connection is to run. AnyWorkspace is set for
	// status queries of the system's own, which may use the connection of any workspace.
	Workspace    ctid.Workspace
	AnyWorkspace bool
	// Operation reports whether the query starts an operation, which counts toward the limit
	// of its workspace.
	Operation bool
	// Priority orders the requests that wait.
	Priority Priority
	// Deadline is the time until which the request waits for a connection.
	Deadline time.Time
}

// New returns pools without members; ApplyView adds them. The transport is nil if
// every proxy opens its own connections.
func New(
	dialer Dialer, self ctview.Proxy, transport ctframe.Transport, clock ctclock.Clock, logger zerolog.Logger,
) *Pools {
	return &Pools{
		Dialer: dialer, Self: self, Transport: transport, Clock: clock, Logger: logger,
		Random: systemRandom{}, startedAt: clock.Now(),
		members: cttable.Table[ctid.Member, memberPool]{Rank: ctlock.RankMembers},
		peers:   cttable.Table[netip.AddrPort, peerStreams]{Rank: ctlock.RankPeers},

		membersKnown: make(chan struct{}),
	}
}

// Acquire returns a connection to a member, if possible one that has the session's
// values. The caller returns it with Release. The error is of kind
// cterror.Exhausted if no connection became free in time, cterror.Unavailable if
// none can be opened, and cterror.RateLimited if the limit of the workspace is reached.
func (p *Pools) Acquire(held *ctlock.Held, name ctid.Member, options AcquireOptions) (*Conn, error) {
	if o := p.ownership.Load(); o != nil {
		return p.acquireByOwner(held, o, name, options)
	}
	return p.acquireOwn(held, name, options)
}

// acquireOwn is Acquire for this proxy's own connections and, where they serve callers of any
// workspace, for its streams. It counts an operation first.
func (p *Pools) acquireOwn(held *ctlock.Held, name ctid.Member, options AcquireOptions) (*Conn, error) {
	counted := options.Operation && p.Quotas != nil && options.Workspace != ""
	if counted {
		if err := p.Quotas.Admit(held, options.Workspace, options.Deadline); err != nil {
			return nil, err
		}
	}
	conn, err := p.takeConn(held, name, options)
	switch {
	case !counted:
		return conn, err
	case err != nil:
		p.Quotas.Cancel(held, options.Workspace)
		return nil, err
	}
	if conn.countedAt, err = p.Quotas.Start(held, options.Workspace); err != nil {
		p.Release(held, conn, Result{})
		return nil, err
	}
	conn.counted = true
	return conn, nil
}

// takeConn takes an idle connection, or waits for one. It rejects a request at once that is not
// expected to get one in time.
func (p *Pools) takeConn(held *ctlock.Held, name ctid.Member, options AcquireOptions) (*Conn, error) {
	var conn *Conn
	var ready chan *Conn
	var ticket ctadmission.Ticket
	var tooLate error
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[name]
		if !ok {
			return
		}
		now := p.Clock.Now()
		r := ctadmission.Request{
			Priority: options.Priority, Workspace: options.Workspace, AnyWorkspace: options.AnyWorkspace,
			AddedAt: now, Deadline: options.Deadline,
		}
		admitted := m.admits(now, &r)
		if admitted {
			conn = m.popIdle(options.State, &r)
		}
		if conn != nil {
			p.markAcquired(m, conn)
			return
		}
		if admitted || m.open == 0 {
			p.dialMore(m, options.Workspace)
		}
		if tooLate = p.rejectLate(m, now, r); m.open > 0 && tooLate == nil {
			ready = make(chan *Conn, 1)
			ticket = m.enqueue(r, ready)
			p.scheduleWake(m, now)
		}
	})
	switch {
	case conn != nil:
		return conn, nil
	case tooLate != nil:
		return nil, tooLate
	case ready == nil:
		return nil, cterror.New(cterror.Unavailable, "no connection to the member can be opened", "try another member")
	}
	return p.awaitConn(held, name, ready, ticket, options.Deadline)
}

// awaitConn waits until a connection is opened or released for the request with the
// channel ready. It returns the errors of Acquire.
func (p *Pools) awaitConn(
	held *ctlock.Held, name ctid.Member, ready chan *Conn, ticket ctadmission.Ticket, deadline time.Time,
) (*Conn, error) {
	timer := time.NewTimer(deadline.Sub(p.Clock.Now()))
	defer timer.Stop()
	select {
	case conn, ok := <-ready:
		if !ok {
			return nil, cterror.New(cterror.Unavailable, "no connection to the member can be opened", "try another member")
		}
		return conn, nil
	case <-timer.C:
	case <-p.Stop.Abandoned():
	}
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok && m.ready[ticket] == ready {
			m.queue.Remove(ticket)
			delete(m.ready, ticket)
		}
	})
	select {
	case conn, ok := <-ready:
		if ok {
			return conn, nil
		}
	default:
	}
	p.countRefusal(name, refusedAfterWait)
	return nil, cterror.New(cterror.Exhausted, "no connection to the member became free in time", "try again soon")
}

// popIdle removes an idle connection that a request accepts and returns it, if possible one
// that has the session's values. It returns nil if there is none. Broken connections are
// closed.
func (m *memberPool) popIdle(state *ctdialog.State, r *ctadmission.Request) *Conn {
	m.closeBroken()
	best := -1
	for i, c := range slices.Backward(m.idle) {
		if !c.serves(r) {
			continue
		}
		if best < 0 {
			best = i
		}
		if state == nil || c.executor.matches(state) {
			best = i
			break
		}
	}
	if best < 0 {
		return nil
	}
	conn := m.idle[best]
	m.idle = slices.Delete(m.idle, best, best+1)
	return conn
}

// closeBroken closes the idle connections that can't be used any more.
func (m *memberPool) closeBroken() {
	alive := m.idle[:0]
	for _, c := range m.idle {
		if c.Alive() {
			alive = append(alive, c)
			continue
		}
		c.close()
		m.forget(c)
	}
	clear(m.idle[len(alive):])
	m.idle = alive
}

// forget stops counting a connection that was closed because it can't be used any more.
func (m *memberPool) forget(conn *Conn) {
	m.open--
	if conn.executor.closedInDoubt() {
		m.closedInDoubt++
	}
}

// countReopened counts a connection that was opened in place of one closed in doubt.
func (p *Pools) countReopened(m *memberPool) {
	if m.closedInDoubt == 0 {
		return
	}
	m.closedInDoubt--
	if p.Metrics != nil {
		p.Metrics.DoubtfulReopens.Inc()
	}
}

// markAcquired records that a user gets the connection.
func (p *Pools) markAcquired(m *memberPool, conn *Conn) {
	conn.acquiredAt = p.Clock.Now()
	m.running++
	m.startStatement(conn)
	if m.unansweredSince.IsZero() {
		m.unansweredSince = conn.acquiredAt
	}
}

// dialMore starts to open one more connection for a workspace if the limits allow it. If the
// connections of other workspaces use up the limit, it closes the one of them that has been
// idle for the longest time. Only a few are opened at a time, because opening one occupies
// a slot of the member and many proxies may do so at once.
func (p *Pools) dialMore(m *memberPool, workspace ctid.Workspace) {
	now := p.Clock.Now()
	maxDialing := max(1, m.server.Slots/slotsPerDial)
	if len(m.forwarders) > 0 {
		maxDialing = concurrentStreamOpens
	}
	most := m.opening.Max(now, m.limit, m.dialing)
	if m.dialing >= maxDialing || most == 0 {
		return
	}
	if m.open >= most && !p.evictIdle(m, workspace, most) {
		return
	}
	m.open++
	m.countDialing(workspace, 1)
	var forwarder netip.AddrPort
	if len(m.forwarders) > 0 {
		m.forwarderIndex++
		forwarder = m.forwarders[m.forwarderIndex%len(m.forwarders)]
	}
	go p.dial(m.server, forwarder, workspace)
}

// countDialing adds a number to those of the connections that are being opened.
func (m *memberPool) countDialing(workspace ctid.Workspace, n int) {
	m.dialing += n
	if m.dialingFor == nil {
		m.dialingFor = make(map[ctid.Workspace]int)
	}
	if m.dialingFor[workspace] += n; m.dialingFor[workspace] == 0 {
		delete(m.dialingFor, workspace)
	}
}

// evictIdle closes the connection of another workspace that has been idle for the longest time.
// It reports whether another connection may be opened then, of which most may be open.
func (p *Pools) evictIdle(m *memberPool, workspace ctid.Workspace, most int) bool {
	i := slices.IndexFunc(m.idle, func(c *Conn) bool { return c.workspace != workspace })
	if i < 0 || m.open > most {
		return false
	}
	m.idle[i].close()
	m.idle = slices.Delete(m.idle, i, i+1)
	m.open--
	if p.Metrics != nil {
		p.Metrics.EvictedConnections.Inc()
	}
	return true
}

// dial opens a connection for a workspace and assigns it. If forwarder is valid, dial opens a
// stream to the proxy at that address instead.
func (p *Pools) dial(server ctserver.Announcement, forwarder netip.AddrPort, workspace ctid.Workspace) {
	e, err := p.connect(server, forwarder, workspace)
	var held ctlock.Held
	if err != nil {
		p.Logger.Info().Str("event", "dial_failed").Str("member", string(server.Member)).
			Stringer("address", server.Address).Str("error", err.Error()).Send()
		p.recordDialFailure(&held, server, workspace, err)
		return
	}
	conn := newConn(server, e)
	conn.workspace = workspace
	if !forwarder.IsValid() {
		conn.pools = p
	}
	p.members.With(&held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[server.Member]
		if !ok || m.server.Incarnation != server.Incarnation {
			conn.close()
			return
		}
		m.countDialing(workspace, -1)
		m.answeredAt = p.Clock.Now()
		m.opening.Opened(m.answeredAt, m.open-m.dialing)
		p.countReopened(m)
		p.assign(m, conn)
	})
}

// connect opens a connection to a member for a workspace, or a stream to a proxy that forwards
// queries to it if forwarder is valid.
func (p *Pools) connect(
	server ctserver.Announcement, forwarder netip.AddrPort, workspace ctid.Workspace,
) (executor, error) {
	if forwarder.IsValid() {
		ctx, cancel := context.WithTimeout(context.Background(), streamOpenTimeout)
		defer cancel()
		stream, err := p.Transport.Open(ctx, forwarder)
		if err != nil {
			return nil, err
		}
		return p.newForwardingExecutor(server.Member, stream), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := p.Dialer.Dial(ctx, server, workspace)
	if err != nil {
		return nil, err
	}
	return newDirectExecutor(raw, p.Clock, p.reporter(server.Member)), nil
}

// recordDialFailure sets the pause before the next attempt. If no connection is left,
// it fails all waiters.
func (p *Pools) recordDialFailure(
	held *ctlock.Held, server ctserver.Announcement, workspace ctid.Workspace, err error,
) {
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[server.Member]
		if !ok || m.server.Incarnation != server.Incarnation {
			return
		}
		m.countDialing(workspace, -1)
		m.open--
		now := p.Clock.Now()
		if cterror.KindOf(err) == cterror.Exhausted {
			m.opening.Rejected(now, m.open-m.dialing, p.Random)
			if p.Metrics != nil {
				p.Metrics.ConnectionsRejected.WithLabelValues(string(server.Member)).Inc()
			}
		} else {
			m.opening.Failed(now)
		}
		if m.open > 0 {
			p.serveWaiters(m)
			return
		}
		m.failWaiters()
	})
}

// assign makes a free connection idle and passes it to the next request that accepts it. It
// closes the connection if no request does and more are open than the limit allows.
func (p *Pools) assign(m *memberPool, conn *Conn) {
	m.idle = append(m.idle, conn)
	p.serveWaiters(m)
	if last := len(m.idle) - 1; m.open > m.limit && last >= 0 && m.idle[last] == conn {
		conn.close()
		m.idle = m.idle[:last]
		m.open--
	}
}

// Result is the outcome of running a query on a connection.
type Result struct {
	// Discard reports that the connection must not be used again.
	Discard bool
	// NotRun reports that nothing of the operation that the connection was acquired for ran,
	// so that it does not count toward the limit of its workspace.
	NotRun bool
	// Answered reports that the member answered. The fields below count only then.
	Answered bool
	// Latency is how long the answer took; 0 leaves the known latency as it is.
	Latency time.Duration
	// Applied is the point that the answer reported; the zero point leaves the known
	// one as it is.
	Applied ctposition.Point
}

// Release returns a connection to the pools and records the result of its last query. The
// caller must not use the connection afterwards. If the last answer has yet to be confirmed,
// that is done first, in the background.
func (p *Pools) Release(held *ctlock.Held, conn *Conn, result Result) {
	if !result.Discard && conn.executor.unsettled() {
		go p.settle(conn, result)
		return
	}
	if conn.counted && result.NotRun {
		p.Quotas.Refund(held, conn.workspace, conn.countedAt)
	}
	conn.counted = false
	if conn.peer.IsValid() {
		p.returnStream(held, conn, result)
		return
	}
	if result.Discard || !conn.Alive() || conn.executor.holdsLargeState() {
		conn.close()
	}
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[conn.Member]
		if !ok || m.server.Incarnation != conn.incarnation {
			conn.close()
			return
		}
		m.endStatement(conn)
		p.endUse(m, result)
		if conn.Alive() {
			p.assign(m, conn)
			return
		}
		m.forget(conn)
		p.serveWaiters(m)
	})
}

// endUse records that a user has released a connection or stream, and its result.
func (p *Pools) endUse(m *memberPool, result Result) {
	m.running--
	p.recordResult(m, p.Clock.Now(), result)
	if m.running == 0 {
		m.unansweredSince = time.Time{}
	}
}

// settle releases a connection once its last answer is confirmed, or discards it.
func (p *Pools) settle(conn *Conn, result Result) {
	var held ctlock.Held
	if conn.executor.settle(Limits{Deadline: p.Clock.Now().Add(settleTimeout)}) != nil {
		result.Discard = true
	}
	p.Release(&held, conn, result)
}

// recordResult updates what is known of a member from an answer.
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

// RecordResult records the result of a query whose connection stays acquired, such as
// one within a transaction.
func (p *Pools) RecordResult(held *ctlock.Held, name ctid.Member, result Result) {
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok {
			p.recordResult(m, p.Clock.Now(), result)
		}
	})
}

// Avoid marks a member to be tried last until the given time. An earlier time than
// the one in force has no effect.
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
