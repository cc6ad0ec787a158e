package ctentry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsession"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctthrottle"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctpg"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttoken"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctdeadline"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// Options are the dependencies and settings of an Entry.
type Options struct {
	// Proxy, Incarnation and FailureDomain describe this proxy.
	Proxy         ctid.Proxy
	Incarnation   ctid.Incarnation
	FailureDomain ctid.FailureDomain
	// State provides the view and the hints.
	State *ctstate.State
	// Transport opens streams to holders.
	Transport ctframe.Transport
	// Sealer creates and opens the tokens with which callers continue from a point.
	Sealer  *cttoken.Sealer
	Clock   ctclock.Clock
	Random  ctretry.Random
	Logger  zerolog.Logger
	Metrics *ctmetric.Metrics
	// TLS encrypts callers' connections. If it is nil, they are not encrypted.
	TLS *tls.Config
	// Accounts limits the callers and what they hold; nil for no limit.
	Accounts *ctaccount.Accounts
	// Workers is the number of workers. If it is 0, there is one per processor.
	Workers int
}

// Entry accepts callers' connections and runs their sessions.
type Entry struct {
	Options

	sessions    cttable.Table[ctid.Session, callerConn]
	retryBudget cttable.Cell[ctretry.Budget]
	// throttles limit the requests to each member.
	throttles cttable.Table[ctid.Member, ctthrottle.Throttle]
	// waiting holds the sessions that wait to retry.
	waiting cttable.Table[ctid.Session, struct{}]
	pool    ctpool.Pool[sessionEvent]
	timers  ctdeadline.Queue[timer]
	// lastSession is the ID that was assigned last.
	lastSession atomic.Uint64
	draining    atomic.Bool
	// connections counts the goroutines that serve callers.
	connections sync.WaitGroup
}

// sessionEvent is an event together with the session that it concerns.
type sessionEvent struct {
	session ctid.Session
	event   ctsession.Event
}

// timer identifies a timer of a session: the one for its next retry if retry is true,
// else its idle timer.
type timer struct {
	session ctid.Session
	retry   bool
}

// New returns an entry. Start must be called before Serve.
func New(options Options) *Entry {
	e := &Entry{
		Options:     options,
		sessions:    cttable.Table[ctid.Session, callerConn]{Rank: ctlock.RankSessions},
		retryBudget: cttable.Cell[ctretry.Budget]{Rank: ctlock.RankRetryBudget},
		throttles:   cttable.Table[ctid.Member, ctthrottle.Throttle]{Rank: ctlock.RankThrottles},
		waiting:     cttable.Table[ctid.Session, struct{}]{Rank: ctlock.RankWaitingSessions},
	}
	e.pool = ctpool.Pool[sessionEvent]{Workers: options.Workers, Handle: e.handleEvent}
	e.timers = ctdeadline.Queue[timer]{Clock: options.Clock, OnExpired: e.handleTimer}
	return e
}

// Start starts the workers, and the timers until ctx ends.
func (e *Entry) Start(ctx context.Context) {
	e.pool.Start()
	go e.timers.Run(ctx)
}

// Serve accepts callers until the listener is closed, and serves each in a goroutine. A
// connection that can't be accepted, as when the process has no descriptor left, does not end it.
func (e *Entry) Serve(listener net.Listener) {
	acceptor := cttcp.Acceptor{Listener: listener, Report: ctmetric.Report(&e.Logger, e.Metrics.Panics)}
	_ = acceptor.Serve(func(socket net.Conn) {
		e.connections.Add(1)
		go func() {
			defer e.connections.Done()
			e.serve(socket)
		}()
	})
}

// Drain ends idle sessions at once and the others when their work is done. It waits for
// them until ctx ends and reports whether all have ended.
func (e *Entry) Drain(ctx context.Context) bool {
	e.draining.Store(true)
	e.enqueueToAll(ctsession.DrainRequested{})
	done := make(chan struct{})
	go func() {
		e.connections.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// EndTransactions ends the time that open transactions have, once the entry is draining.
func (e *Entry) EndTransactions() {
	e.enqueueToAll(ctsession.TransactionsDue{})
}

// AbandonRequests ends the waits for the answers to requests and with them all sessions.
// Each caller is told what is known of its request.
func (e *Entry) AbandonRequests() {
	e.enqueueToAll(ctsession.RequestsDue{})
}

// ApplyView makes the waiting sessions retry at once, because the newer view may have a
// member for them. The caller has installed the view in State before.
func (e *Entry) ApplyView(held *ctlock.Held, _ *ctview.View) {
	var ids []ctid.Session
	e.waiting.With(held, func(waiting map[ctid.Session]*struct{}) {
		for s := range waiting {
			ids = append(ids, s)
		}
		clear(waiting)
	})
	for _, s := range ids {
		e.enqueue(s, ctsession.RetryTimerFired{})
	}
}

// sessionIDs returns the IDs of the open sessions.
func (e *Entry) sessionIDs() []ctid.Session {
	var held ctlock.Held
	var ids []ctid.Session
	e.sessions.With(&held, func(sessions map[ctid.Session]*callerConn) {
		for s := range sessions {
			ids = append(ids, s)
		}
	})
	return ids
}

// enqueueToAll passes an event to the workers of all open sessions.
func (e *Entry) enqueueToAll(event ctsession.Event) {
	for _, s := range e.sessionIDs() {
		e.enqueue(s, event)
	}
}

// enqueue passes an event to the worker that handles the session.
func (e *Entry) enqueue(session ctid.Session, event ctsession.Event) {
	e.pool.Put(ctpool.Key(session), sessionEvent{session: session, event: event})
}

// handleTimer enqueues the event for a timer that has expired.
func (e *Entry) handleTimer(t timer) {
	if t.retry {
		e.enqueue(t.session, ctsession.RetryTimerFired{})
		return
	}
	e.enqueue(t.session, ctsession.IdleTimerFired{})
}

// handleEvent runs a session's state machine on an event and delivers the effects. It
// runs on a worker. Events of sessions that have ended are ignored.
func (e *Entry) handleEvent(held *ctlock.Held, s sessionEvent) {
	view := e.State.View(held)
	environment := &ctsession.Environment{
		Now:           e.Clock.Now(),
		View:          view,
		Random:        e.Random,
		Proxy:         e.Proxy,
		Incarnation:   e.Incarnation,
		FailureDomain: e.FailureDomain,
		RetryBudget:   lockedBudget{budget: &e.retryBudget, held: held},
		Throttles:     lockedThrottles{entry: e, held: held},
	}
	var conn *callerConn
	e.sessions.With(held, func(sessions map[ctid.Session]*callerConn) {
		conn = sessions[s.session]
	})
	if conn == nil {
		return
	}
	environment.Hints = e.State.Hints(held, view.MembersOf(conn.session.Group))
	e.deliver(held, conn, view.Version, conn.session.Step(environment, s.event))
}

// deliver performs the effects that set timers. It logs the others and passes them to
// the connection's goroutine. The effects were decided on the given version of the view.
func (e *Entry) deliver(held *ctlock.Held, conn *callerConn, version ctview.Version, effects []ctsession.Effect) {
	session := conn.session.ID
	rest := make([]ctsession.Effect, 0, len(effects))
	disconnect := false
	for _, effect := range effects {
		switch f := effect.(type) {
		case ctsession.StartRetryTimer:
			e.scheduleRetry(held, session, version, f.Delay)
		case ctsession.AbortRequest:
			conn.abort()
		case ctsession.StartIdleTimer:
			e.timers.Set(timer{session: session}, e.Clock.Now().Add(f.Timeout))
		case ctsession.Disconnect:
			disconnect = true
			rest = append(rest, f)
		default:
			rest = append(rest, f)
		}
	}
	if len(rest) == 0 {
		return
	}
	e.logDecisions(conn, rest)
	conn.effectLists <- rest
	if disconnect {
		conn.interrupt()
	}
}

// scheduleRetry makes a session retry after a delay, or as soon as a newer view arrives.
// It enqueues the retry at once if the view has changed since the version on which the
// session decided to wait: ApplyView may have run before the session was registered.
func (e *Entry) scheduleRetry(held *ctlock.Held, session ctid.Session, version ctview.Version, delay time.Duration) {
	e.waiting.With(held, func(waiting map[ctid.Session]*struct{}) { waiting[session] = &struct{}{} })
	e.timers.Set(timer{session: session, retry: true}, e.Clock.Now().Add(delay))
	if e.State.View(held).Version != version {
		e.enqueue(session, ctsession.RetryTimerFired{})
	}
}

// SessionCount returns the number of open sessions.
func (e *Entry) SessionCount() int {
	var held ctlock.Held
	count := 0
	e.sessions.With(&held, func(sessions map[ctid.Session]*callerConn) { count = len(sessions) })
	return count
}

// observeRequest updates the metrics for a request that has ended.
func (e *Entry) observeRequest(c *callerConn, outcome ctoutcome.Outcome, startedAt time.Time) {
	role := string(c.role)
	e.Metrics.Requests.WithLabelValues(string(c.session.Group), role, ctoutcome.NameOf(outcome)).Inc()
	e.Metrics.RequestSeconds.WithLabelValues(role).Observe(e.Clock.Now().Sub(startedAt).Seconds())
}

// callerOptions returns the settings of a caller's connection.
func (e *Entry) callerOptions(session ctid.Session, account *ctaccount.Account) ctpg.Options {
	return ctpg.Options{TLS: e.TLS, ProcessID: uint32(session), Meter: requestMeter{account}}
}
