package ctgateway

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// The times of callers' sessions.
const (
	// startupMessageTimeout is how long a caller may take to ask for a database.
	startupMessageTimeout = 5 * time.Second
	// readyTimeout is how long a caller waits for a proxy that has just started.
	readyTimeout = 1500 * time.Millisecond
	// defaultTransactionIdleTimeout ends a transaction that rests for so long, where the
	// configuration says nothing.
	defaultTransactionIdleTimeout = 3 * time.Second
	// defaultTargetLatency stands for the target latency of a route that has none.
	defaultTargetLatency = 500 * time.Millisecond
)

// session is a caller's connection with its session.
type session struct {
	gateway *Gateway
	id      ctid.Session
	caller  Caller
	held    ctlock.Held
	dialog  ctdialog.Dialog
	// database is what the caller asked for, and route where it leads to now.
	database ctid.Database
	route    ctconfig.Route
	// pinned is the connection of the open transaction.
	pinned *pinnedConn
	// closeWhenIdle reports that the session is to end once it rests.
	closeWhenIdle atomic.Bool
}

// pinnedConn is a connection that an open transaction holds.
type pinnedConn struct {
	conn *ctpools.Conn
	// group is the one that the transaction began in; the session's route may
	// lead elsewhere from the next one on.
	group   ctid.Group
	primary bool
	term    ctposition.Term
}

// serve serves one connection of a caller.
func (g *Gateway) serve(socket net.Conn) {
	s := &session{gateway: g, id: ctid.Session(g.lastSession.Add(1)), caller: g.NewCaller(socket)}
	defer s.caller.Close()
	database, err := s.caller.ReadStartup(time.Now().Add(startupMessageTimeout))
	if err != nil {
		g.Logger.Debug().Str("event", "start_refused").Str("error", err.Error()).Send()
		return
	}
	s.database = database
	if !s.awaitReady() {
		g.Logger.Info().Str("event", "start_refused").Str("database", string(database)).
			Str("why", "just_started").Send()
		_ = s.caller.RefuseStartup(ctquery.FaultBusy, "this proxy has just started; retry after 500 ms")
		return
	}
	if g.primariesReached.Load() && g.authorityLapsed(&s.held) {
		g.Logger.Info().Str("event", "start_refused").Str("database", string(database)).
			Str("why", "no_authority").Send()
		_ = s.caller.RefuseStartup(ctquery.FaultBusy, "this proxy is out of touch with control; retry now, elsewhere")
		return
	}
	if !s.resolveRoute() {
		fault, reason, text := s.noRouteFault()
		g.Logger.Info().Str("event", "start_refused").Str("database", string(database)).Str("why", reason).Send()
		_ = s.caller.RefuseStartup(fault, text)
		return
	}
	if s.caller.AcceptStartup() != nil {
		return
	}
	g.sessions.With(&s.held, func(sessions map[ctid.Session]*session) { sessions[s.id] = s })
	g.Metrics.Sessions.Inc()
	defer g.Metrics.Sessions.Dec()
	defer s.finish()
	s.serveQueries()
}

// awaitReady waits until a proxy that has just started can serve the session,
// and reports whether it has a configuration. A proxy that had authority once
// keeps nobody waiting here.
func (s *session) awaitReady() bool {
	g := s.gateway
	deadline := g.Clock.Now().Add(readyTimeout)
	for {
		view := g.State.View(&s.held)
		if !g.State.AuthorityExpiry(&s.held).IsZero() && view.Config.Revision > 0 && (!s.resolveRoute() || s.primaryReached(view)) {
			return true
		}
		if !g.Clock.Now().Before(deadline) {
			return view.Config.Revision > 0
		}
		<-g.Clock.After(retryDelay)
	}
}

// primaryReached reports whether there is a connection to the primary of the session's
// group, or has been one.
func (s *session) primaryReached(view *ctview.View) bool {
	if s.gateway.primariesReached.Load() {
		return true
	}
	primary := view.Groups[s.route.Group].Primary
	return s.gateway.Pools.EverReached(&s.held, primary)
}

// noRouteFault tells what a caller of a database without a route is answered. A proxy
// that may lack the newest configuration can't know that there is none.
func (s *session) noRouteFault() (fault ctquery.Fault, reason, text string) {
	g := s.gateway
	if g.State.ConfigOutdated(&s.held) || !g.Clock.Now().Before(g.State.AuthorityExpiry(&s.held)) {
		return ctquery.FaultBusy, "configuration_uncertain",
			"this proxy may lack the newest configuration; retry now, elsewhere"
	}
	return ctquery.FaultNoDatabase, "no_route", "no route leads to this database"
}

// finish forgets the session. What its transaction did is rolled back.
func (s *session) finish() {
	s.rollBack()
	s.gateway.sessions.With(&s.held, func(sessions map[ctid.Session]*session) { delete(sessions, s.id) })
}

// resolveRoute finds the route of the session's database in the configuration in
// force.
func (s *session) resolveRoute() bool {
	route, ok := s.gateway.State.View(&s.held).Config.Document.Route(s.database)
	if ok {
		s.route = route
		s.gateway.markUsed(&s.held, route.Group)
	}
	return ok
}

// serveQueries serves the caller's queries until the session ends.
func (s *session) serveQueries() {
	for {
		if s.closeWhenIdle.Load() && !s.dialog.InTransaction() {
			return
		}
		query, err := s.caller.ReadQuery(s.idleDeadline())
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !s.handleReadDeadline() {
				return
			}
			continue
		default:
			return
		}
		if s.caller.WriteAnswer(s.handleQuery(query)) != nil {
			return
		}
	}
}

// idleDeadline returns until when the caller may rest: zero for as long as it
// likes.
func (s *session) idleDeadline() time.Time {
	if !s.dialog.InTransaction() {
		return time.Time{}
	}
	settings := s.gateway.State.View(&s.held).Config.Document.Defaults
	return time.Now().Add(settings.Sessions.TransactionTimeout.Or(defaultTransactionIdleTimeout))
}

// handleReadDeadline handles the end of a rest: a transaction that idled too long, or the
// order to leave. It reports whether the session goes on.
func (s *session) handleReadDeadline() bool {
	if !s.dialog.InTransaction() {
		return !s.closeWhenIdle.Load()
	}
	if s.closeWhenIdle.Load() {
		// The transaction may go on; the interruption was for sessions that rest.
		return true
	}
	if s.dialog.FailTransaction() {
		s.gateway.Logger.Info().Str("event", "decision").Str("decision", "end_transaction").
			Uint64("session", uint64(s.id)).Str("why", "idle").Send()
	}
	s.rollBack()
	return true
}

// handleQuery handles one query and returns the answer.
func (s *session) handleQuery(query ctquery.Query) ctquery.Answer {
	if !s.dialog.InTransaction() && !s.resolveRoute() {
		fault, _, text := s.noRouteFault()
		return ctquery.Answer{Fault: fault, Text: text}
	}
	switch plan := s.dialog.HandleQuery(query).(type) {
	case ctdialog.Answer:
		if plan.Rollback {
			s.rollBack()
		}
		return plan.Answer
	case ctdialog.Run:
		return s.run(plan)
	}
	return ctquery.Answer{Fault: ctquery.FaultMalformed}
}

// rollBack ends the open transaction on its connection, which can then serve
// others: a new one would take the member's time. A connection that broke or
// owes an answer is closed.
func (s *session) rollBack() {
	p := s.pinned
	if p == nil {
		return
	}
	if !p.conn.Alive() {
		s.unpin(ctpools.Result{Discard: true})
		return
	}
	s.pinned = nil
	go func() {
		var held ctlock.Held
		deadline := s.gateway.Clock.Now().Add(rollbackTimeout)
		answer, err := p.conn.Run(nil, ctquery.Query{Statement: ctquery.Rollback{}}, ctpools.Limits{Deadline: deadline})
		result := ctpools.Result{Discard: err != nil, Answered: err == nil}
		if err == nil && (!answer.OK() || answer.Transaction != ctquery.TransactionNone) {
			result.Discard = true
		}
		s.gateway.releasePinned(&held, p, result)
	}()
}

// rollbackTimeout bounds a rollback.
const rollbackTimeout = time.Second

// unpin gives the connection of the open transaction back.
func (s *session) unpin(result ctpools.Result) {
	if p := s.pinned; p != nil {
		s.pinned = nil
		s.gateway.releasePinned(&s.held, p, result)
	}
}

func (g *Gateway) releasePinned(held *ctlock.Held, p *pinnedConn, result ctpools.Result) {
	g.Pools.Release(held, p.conn, result)
	if p.primary {
		g.endAtPrimary(held, p.group)
	}
}
