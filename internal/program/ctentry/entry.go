package ctentry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsession"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctthrottle"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctpg"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttoken"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctdeadline"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// Options are the parts and settings of an Entry.
type Options struct {
	Proxy         ctid.Proxy
	Incarnation   ctid.Incarnation
	FailureDomain ctid.FailureDomain
	State         *ctstate.State
	Transport     ctframe.Transport
	Sealer        *cttoken.Sealer
	Clock         ctclock.Clock
	Random        ctretry.Random
	Logger        zerolog.Logger
	Metrics       *ctmetric.Metrics
	// TLS encrypts callers' connections; nil serves them without.
	TLS *tls.Config
	// Workers is the number of workers; one a processor where it is 0.
	Workers int
}

// Entry serves callers.
type Entry struct {
	Options

	sessions    cttable.Table[ctid.Session, callerConn]
	retryBudget cttable.Cell[ctretry.Budget]
	// throttles holds what may be sent to members.
	throttles cttable.Table[ctid.Member, ctthrottle.Throttle]
	// waiting holds the sessions that wait for their next try.
	waiting     cttable.Table[ctid.Session, struct{}]
	pool        ctpool.Pool[sessionEvent]
	timers      ctdeadline.Queue[timer]
	lastSession atomic.Uint64
	draining    atomic.Bool
	connections sync.WaitGroup
}

// sessionEvent is an event of a session.
type sessionEvent struct {
	session ctid.Session
	event   ctsession.Event
}

// timer is a deadline of a session: for its next try, or for its idleness.
type timer struct {
	session ctid.Session
	retry   bool
}

// New returns an entry that is ready to serve.
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

// Start starts the workers and the timers, which run until ctx ends.
func (e *Entry) Start(ctx context.Context) {
	e.pool.Start()
	go e.timers.Run(ctx)
}

// Serve accepts callers until the listener is closed.
func (e *Entry) Serve(listener net.Listener) error {
	for {
		socket, err := listener.Accept()
		if err != nil {
			if e.draining.Load() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "accept a caller")
		}
		e.connections.Add(1)
		go func() {
			defer e.connections.Done()
			e.serve(socket)
		}()
	}
}

// Drain ends idle sessions now and the others after their work, and waits for
// them until ctx ends. It reports whether all have ended.
func (e *Entry) Drain(ctx context.Context) bool {
	e.draining.Store(true)
	for _, s := range e.sessionIDs() {
		e.enqueue(s, ctsession.DrainRequested{})
	}
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

// ApplyView lets the sessions that wait for a member look for one in a newer view.
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

// enqueue hands an event of a session to the workers.
func (e *Entry) enqueue(session ctid.Session, event ctsession.Event) {
	e.pool.Put(ctpool.Key(session), sessionEvent{session: session, event: event})
}

// handleTimer turns a deadline that has passed into an event.
func (e *Entry) handleTimer(t timer) {
	if t.retry {
		e.enqueue(t.session, ctsession.RetryTimerFired{})
		return
	}
	e.enqueue(t.session, ctsession.IdleTimerFired{})
}

// handleEvent lets a session decide on an event and hands the effects over. The
// conversation performs those that need its connections.
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

// deliver sets the timers that the effects ask for, logs the decisions and
// passes the rest to the conversation.
func (e *Entry) deliver(held *ctlock.Held, conn *callerConn, version ctview.Version, effects []ctsession.Effect) {
	session := conn.session.ID
	rest := make([]ctsession.Effect, 0, len(effects))
	disconnect := false
	for _, effect := range effects {
		switch f := effect.(type) {
		case ctsession.StartRetryTimer:
			e.scheduleRetry(held, session, version, f.Delay)
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

// scheduleRetry lets a session wait for its next try, which was decided on a version of
// the view.
func (e *Entry) scheduleRetry(held *ctlock.Held, session ctid.Session, version ctview.Version, delay time.Duration) {
	e.waiting.With(held, func(waiting map[ctid.Session]*struct{}) { waiting[session] = &struct{}{} })
	e.timers.Set(timer{session: session, retry: true}, e.Clock.Now().Add(delay))
	if e.State.View(held).Version != version {
		e.enqueue(session, ctsession.RetryTimerFired{})
	}
}

// SessionCount returns how many sessions are open.
func (e *Entry) SessionCount() int {
	var held ctlock.Held
	count := 0
	e.sessions.With(&held, func(sessions map[ctid.Session]*callerConn) { count = len(sessions) })
	return count
}

// observeRequest counts an ended request.
func (e *Entry) observeRequest(c *callerConn, outcome ctoutcome.Outcome, startedAt time.Time) {
	role := string(c.role)
	e.Metrics.Requests.WithLabelValues(string(c.session.Group), role, ctoutcome.Name(outcome)).Inc()
	e.Metrics.RequestSeconds.WithLabelValues(role).Observe(e.Clock.Now().Sub(startedAt).Seconds())
}

// callerOptions returns the settings of a caller's connection.
func (e *Entry) callerOptions(session ctid.Session) ctpg.Options {
	return ctpg.Options{TLS: e.TLS, ProcessID: uint32(session)}
}
