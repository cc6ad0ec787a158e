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

	sessions cttable.Table[ctid.Session, conversation]
	budget   cttable.Cell[ctretry.Budget]
	// throttles holds what may be sent to members.
	throttles cttable.Table[ctid.Member, ctthrottle.Throttle]
	// waiting holds the sessions that wait for their next try.
	waiting  cttable.Table[ctid.Session, struct{}]
	pool     ctpool.Pool[happening]
	timers   ctdeadline.Queue[timer]
	last     atomic.Uint64
	draining atomic.Bool
	open     sync.WaitGroup
}

// happening is an event of a session.
type happening struct {
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
		Options:   options,
		sessions:  cttable.Table[ctid.Session, conversation]{Rank: ctlock.RankSessions},
		budget:    cttable.Cell[ctretry.Budget]{Rank: ctlock.RankRetryBudget},
		throttles: cttable.Table[ctid.Member, ctthrottle.Throttle]{Rank: ctlock.RankThrottles},
		waiting:   cttable.Table[ctid.Session, struct{}]{Rank: ctlock.RankWaitingSessions},
	}
	e.pool = ctpool.Pool[happening]{Workers: options.Workers, Handle: e.handle}
	e.timers = ctdeadline.Queue[timer]{Clock: options.Clock, OnExpired: e.due}
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
		e.open.Add(1)
		go func() {
			defer e.open.Done()
			e.serve(socket)
		}()
	}
}

// Drain ends idle sessions now and the others after their work, and waits for
// them until ctx ends. It reports whether all have ended.
func (e *Entry) Drain(ctx context.Context) bool {
	e.draining.Store(true)
	for _, s := range e.all() {
		e.put(s, ctsession.DrainRequested{})
	}
	done := make(chan struct{})
	go func() {
		e.open.Wait()
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
	var waiting []ctid.Session
	e.waiting.With(held, func(rows map[ctid.Session]*struct{}) {
		for s := range rows {
			waiting = append(waiting, s)
		}
		clear(rows)
	})
	for _, s := range waiting {
		e.put(s, ctsession.RetryTimerFired{})
	}
}

func (e *Entry) all() []ctid.Session {
	var held ctlock.Held
	var sessions []ctid.Session
	e.sessions.With(&held, func(rows map[ctid.Session]*conversation) {
		for s := range rows {
			sessions = append(sessions, s)
		}
	})
	return sessions
}

// put hands an event of a session to the workers.
func (e *Entry) put(session ctid.Session, event ctsession.Event) {
	e.pool.Put(ctpool.Key(session), happening{session: session, event: event})
}

// due turns a deadline that has passed into an event.
func (e *Entry) due(t timer) {
	if t.retry {
		e.put(t.session, ctsession.RetryTimerFired{})
		return
	}
	e.put(t.session, ctsession.IdleTimerFired{})
}

// handle lets a session decide on an event and hands the effects over. The
// conversation performs those that need its connections.
func (e *Entry) handle(held *ctlock.Held, h happening) {
	view := e.State.View(held)
	world := &ctsession.Environment{
		Now:           e.Clock.Now(),
		View:          view,
		Random:        e.Random,
		Proxy:         e.Proxy,
		Incarnation:   e.Incarnation,
		FailureDomain: e.FailureDomain,
		RetryBudget:   allowance{budget: &e.budget, held: held},
		Throttles:     throttles{entry: e, held: held},
	}
	var to *conversation
	e.sessions.With(held, func(rows map[ctid.Session]*conversation) {
		to = rows[h.session]
	})
	if to == nil {
		return
	}
	world.Hints = e.State.Hints(held, view.MembersOf(to.session.Group))
	e.deliver(held, to, view.Version, to.session.Step(world, h.event))
}

// deliver sets the timers that the effects ask for, logs the decisions and
// passes the rest to the conversation.
func (e *Entry) deliver(held *ctlock.Held, to *conversation, decided ctview.Version, effects []ctsession.Effect) {
	session := to.session.ID
	rest := make([]ctsession.Effect, 0, len(effects))
	hangup := false
	for _, effect := range effects {
		switch f := effect.(type) {
		case ctsession.StartRetryTimer:
			e.await(held, session, decided, f.Delay)
		case ctsession.StartIdleTimer:
			e.timers.Set(timer{session: session}, e.Clock.Now().Add(f.Timeout))
		case ctsession.Disconnect:
			hangup = true
			rest = append(rest, f)
		default:
			rest = append(rest, f)
		}
	}
	if len(rest) == 0 {
		return
	}
	e.logDecisions(to, rest)
	to.orders <- rest
	if hangup {
		to.interrupt()
	}
}

// await lets a session wait for its next try, which was decided on a version of
// the view.
func (e *Entry) await(held *ctlock.Held, session ctid.Session, decided ctview.Version, d time.Duration) {
	e.waiting.With(held, func(rows map[ctid.Session]*struct{}) { rows[session] = &struct{}{} })
	e.timers.Set(timer{session: session, retry: true}, e.Clock.Now().Add(d))
	if e.State.View(held).Version != decided {
		e.put(session, ctsession.RetryTimerFired{})
	}
}

// SessionCount returns how many sessions are open.
func (e *Entry) SessionCount() int {
	var held ctlock.Held
	count := 0
	e.sessions.With(&held, func(rows map[ctid.Session]*conversation) { count = len(rows) })
	return count
}

// observe counts an ended request.
func (e *Entry) observe(c *conversation, outcome ctoutcome.Outcome, began time.Time) {
	role := string(c.role)
	e.Metrics.Requests.WithLabelValues(string(c.session.Group), role, ctoutcome.Name(outcome)).Inc()
	e.Metrics.RequestSeconds.WithLabelValues(role).Observe(e.Clock.Now().Sub(began).Seconds())
}

// options returns the settings of a caller's connection.
func (e *Entry) options(session ctid.Session) ctpg.Options {
	return ctpg.Options{TLS: e.TLS, ProcessID: uint32(session)}
}
