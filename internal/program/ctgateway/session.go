package ctgateway

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Timeouts of callers' sessions.
const (
	// startupMessageTimeout bounds the wait for a caller's startup message.
	startupMessageTimeout = 5 * time.Second
	// readyTimeout is how long a caller waits for a proxy that has just started.
	readyTimeout = 1500 * time.Millisecond
	// defaultTransactionIdleTimeout is how long a transaction may be idle if the
	// configuration sets no limit.
	defaultTransactionIdleTimeout = 3 * time.Second
	// defaultTargetLatency applies to a route without a target latency.
	defaultTargetLatency = 500 * time.Millisecond
)

// session is a caller's connection and the state of its session. One goroutine
// serves it; other goroutines only set closeWhenIdle and interrupt or close caller.
type session struct {
	gateway *Gateway
	id      ctid.Session
	caller  Caller
	account *ctaccount.Account
	// stateUsage is the charge for the session's state.
	stateUsage ctaccount.Usage
	held       ctlock.Held
	dialog     ctdialog.Dialog
	// startup is the caller's startup message. route is the route of its database, and
	// workspace the one that holds its key, in the configuration at the start of the current
	// transaction or statement. The name of workspace is empty for a caller without one.
	startup   Startup
	route     ctconfig.Route
	workspace ctconfig.Workspace
	// pinned is the connection of the running statement or the open transaction; nil
	// if there is neither.
	pinned *pinnedConn
	// closeWhenIdle reports whether the session ends as soon as it has no
	// transaction open.
	closeWhenIdle atomic.Bool
}

// pinnedConn is a connection that a session has acquired for a statement or a
// transaction.
type pinnedConn struct {
	conn *ctpools.Conn
	// group is the group in which the transaction began. The session's route may
	// name another group for the next transaction.
	group   ctid.Group
	primary bool
	// writable reports whether the statement or transaction may write.
	writable bool
	term     ctposition.Term
}

// serve serves one connection of a caller until its session ends.
func (g *Gateway) serve(socket net.Conn) {
	account, admitted := g.Accounts.Open(func() { _ = socket.Close() })
	defer account.Close()
	s := &session{
		gateway: g, id: ctid.Session(g.lastSession.Add(1)), account: account,
		stateUsage: newStateUsage(account), caller: g.NewCaller(socket, messageMeter{account}),
	}
	defer s.caller.Close()
	if !admitted {
		_ = s.caller.RefuseStartup(ctquery.FaultBusy, tooManyCallersText)
		return
	}
	var err error
	s.startup, err = s.caller.ReadStartup(time.Now().Add(startupMessageTimeout))
	if err != nil {
		s.logStartupError(err)
		return
	}
	if refused := s.admitStartup(); refused != nil {
		g.Logger.Info().Str("event", "start_refused").Str("database", string(s.startup.Database)).
			Str("why", refused.reason).Send()
		_ = s.caller.RefuseStartup(refused.fault, refused.text)
		return
	}
	if s.caller.AcceptStartup() != nil {
		return
	}
	s.account.Progress()
	g.sessions.With(&s.held, func(sessions map[ctid.Session]*session) { sessions[s.id] = s })
	g.Metrics.Sessions.Inc()
	defer g.Metrics.Sessions.Dec()
	defer s.finish()
	s.serveQueries()
}

// callerRefusal says why a startup message, or a query outside a transaction, is refused.
type callerRefusal struct {
	fault ctquery.Fault
	// reason is the value of the log key "why", and text describes it to the caller.
	reason string
	text   string
}

// admitStartup returns why the startup message is refused, or nil if it is not.
func (s *session) admitStartup() *callerRefusal {
	if !s.awaitReady() {
		return &callerRefusal{ctquery.FaultBusy, "just_started", "this proxy has just started; retry after 500 ms"}
	}
	if s.gateway.primariesReached.Load() && s.gateway.authorityLapsed(&s.held) {
		return &callerRefusal{ctquery.FaultBusy, "no_authority",
			"this proxy is out of touch with control; retry now, elsewhere"}
	}
	return s.refusalOf(s.resolve())
}

// logStartupError logs that the startup message could not be read. It is of interest only if
// the caller sent one.
func (s *session) logStartupError(err error) {
	level := zerolog.DebugLevel
	if cterror.KindOf(err) == cterror.Invalid {
		level = zerolog.InfoLevel
	}
	s.gateway.Logger.WithLevel(level).Str("event", "start_refused").Uint64("session", uint64(s.id)).
		Str("why", "malformed").Str("error", err.Error()).Send()
}

// awaitReady waits until a proxy that has just started can serve the session, for
// at most readyTimeout. It reports whether the proxy has a configuration. Once the
// proxy has reached the primaries of all groups in use, it returns at once.
func (s *session) awaitReady() bool {
	g := s.gateway
	deadline := g.Clock.Now().Add(readyTimeout)
	for {
		view := g.State.View(&s.held)
		if !g.State.AuthorityExpiry(&s.held).IsZero() && view.Config.Revision > 0 &&
			(s.resolve() != accessGranted || s.primaryReached(view)) {
			return true
		}
		if !g.Clock.Now().Before(deadline) {
			return view.Config.Revision > 0
		}
		<-g.Clock.After(retryDelay)
	}
}

// primaryReached reports whether the primary of the session's group has been
// reached since the proxy started.
func (s *session) primaryReached(view *ctview.View) bool {
	if s.gateway.primariesReached.Load() {
		return true
	}
	primary := view.Groups[s.route.Group].Primary
	return s.gateway.Pools.EverReached(&s.held, primary)
}

// access says whether the configuration lets a caller use its database.
type access uint8

const (
	accessGranted access = iota
	// accessNoRoute means that no route leads to the database.
	accessNoRoute
	// accessDenied means that the caller needs a key, and no workspace holds the one that it
	// presented.
	accessDenied
)

// refusalOf returns why a caller without access is refused, or nil if it has access. A proxy that
// may lack the newest configuration can't know that there is no route or that no workspace
// holds the key; it answers that it is busy.
func (s *session) refusalOf(a access) *callerRefusal {
	if a == accessGranted {
		return nil
	}
	g := s.gateway
	if g.State.ConfigOutdated(&s.held) || !g.Clock.Now().Before(g.State.AuthorityExpiry(&s.held)) {
		return &callerRefusal{ctquery.FaultBusy, "configuration_uncertain",
			"this proxy may lack the newest configuration; retry now, elsewhere"}
	}
	if a == accessDenied {
		return &callerRefusal{ctquery.FaultDenied, "unknown_key", "no workspace holds the key; present a valid one"}
	}
	return &callerRefusal{ctquery.FaultNoDatabase, "no_route", "no route leads to this database"}
}

// finish rolls back the open transaction and removes the session from the table.
func (s *session) finish() {
	s.rollBack()
	s.gateway.sessions.With(&s.held, func(sessions map[ctid.Session]*session) { delete(sessions, s.id) })
}

// resolve looks up the route of the session's database and the workspace that holds its
// key in the current configuration, stores both and marks the route's group as used. It
// returns whether the caller has access.
func (s *session) resolve() access {
	view := s.gateway.State.View(&s.held)
	route, ok := view.Config.Document.Route(s.startup.Database)
	if !ok {
		return accessNoRoute
	}
	workspace, known := view.WorkspaceOf(s.startup.Key)
	if !known && view.Config.Document.RequireKeys && !route.Anonymous {
		return accessDenied
	}
	s.route, s.workspace = route, workspace
	s.gateway.markUsed(&s.held, route.Group)
	return accessGranted
}

// keyWithdrawn reports whether the workspace of the session's transaction does not hold the
// caller's key any more.
func (s *session) keyWithdrawn() bool {
	if s.workspace.Name == "" {
		return false
	}
	workspace, known := s.gateway.State.View(&s.held).WorkspaceOf(s.startup.Key)
	return !known || workspace.Name != s.workspace.Name
}

// serveQueries serves the caller's queries until the session ends.
func (s *session) serveQueries() {
	for {
		if s.mayEnd() {
			if !s.serveArrivedQuery() {
				return
			}
			continue
		}
		query, err := s.caller.ReadQuery(s.idleDeadline())
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.handleReadDeadline()
			continue
		case cterror.KindOf(err) == cterror.Invalid:
			s.logMalformed("", ctquery.Malformed{Reason: ctquery.MalformedTooLong})
			return
		case cterror.KindOf(err) == cterror.Expired:
			ctlog.Decision(&s.gateway.Logger, "end_session").Uint64("session", uint64(s.id)).
				Str("why", "message_timeout").Send()
			return
		default:
			return
		}
		if s.answer(query) != nil {
			return
		}
	}
}

// idleDeadline returns when the wait for the next query ends: the zero time, for no
// limit, outside a transaction.
func (s *session) idleDeadline() time.Time {
	if !s.dialog.InTransaction() {
		return time.Time{}
	}
	settings := s.gateway.State.View(&s.held).Config.Document.Defaults
	return time.Now().Add(settings.Sessions.TransactionTimeout.Or(defaultTransactionIdleTimeout))
}

// arrivedQueryTimeout bounds the read of a query that has arrived already. A query that
// the caller has yet to send must not keep its session open.
const arrivedQueryTimeout = time.Millisecond

// serveArrivedQuery serves the query that arrived while the session was about to end. It
// reports whether there was one.
func (s *session) serveArrivedQuery() bool {
	query, err := s.caller.ReadQuery(time.Now().Add(arrivedQueryTimeout))
	return err == nil && s.answer(query) == nil
}

// handleReadDeadline handles a read that ended without a query: a transaction was
// idle for too long, or closeIdleSessions interrupted the read, which does not end an
// open transaction.
func (s *session) handleReadDeadline() {
	if !s.dialog.InTransaction() || s.closeWhenIdle.Load() {
		return
	}
	if s.dialog.FailTransaction(ctdialog.FailureIdle) {
		s.gateway.Logger.Info().Str("event", "decision").Str("decision", "end_transaction").
			Uint64("session", uint64(s.id)).Str("why", "idle").Send()
	}
	s.rollBack()
}

// logMalformed logs and counts a query whose text was refused.
func (s *session) logMalformed(id ctquery.ID, m ctquery.Malformed) {
	s.gateway.Metrics.MalformedQueries.WithLabelValues(string(m.Reason)).Inc()
	ctlog.Decision(&s.gateway.Logger, "refuse_text").
		Str("request", id.ForLog()).
		Uint64("session", uint64(s.id)).
		Str("database", string(s.startup.Database)).
		Str("why", string(m.Reason)).
		Int("offset", m.Offset).
		Uint8("byte", m.Byte).
		Send()
}

// handleQuery returns the answer to one query. Outside a transaction, it resolves the route
// and the workspace again, as the configuration may have changed. A transaction keeps its
// route, but ends when the caller's key is withdrawn.
func (s *session) handleQuery(query ctquery.Query) ctquery.Answer {
	if m, ok := query.Statement.(ctquery.Malformed); ok {
		s.logMalformed(query.ID, m)
	}
	if !s.dialog.InTransaction() {
		if refused := s.refusalOf(s.resolve()); refused != nil {
			return ctquery.Answer{Fault: refused.fault, Text: refused.text}
		}
	} else if s.keyWithdrawn() && s.dialog.FailTransaction(ctdialog.FailureKeyWithdrawn) {
		ctlog.Decision(&s.gateway.Logger, "end_transaction").Uint64("session", uint64(s.id)).
			Str("why", "key_withdrawn").Send()
		s.rollBack()
	}
	plan := s.chargeState(query.Statement)
	if plan == nil {
		plan = s.dialog.HandleQuery(query)
	}
	switch plan := plan.(type) {
	case ctdialog.Answer:
		if plan.Rollback {
			s.rollBack()
		}
		return plan.Answer
	case ctdialog.Run:
		s.account.SetRunning(true)
		defer s.account.SetRunning(false)
		return s.run(plan)
	}
	return ctquery.Answer{Fault: ctquery.FaultMalformed}
}

// rollBack rolls back the open transaction in the background and then releases its
// connection. Reusing the connection spares the member the cost of a new one. A
// connection that broke or has an outstanding answer is closed.
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

// rollbackTimeout bounds a rollback after which the connection is to be reused.
const rollbackTimeout = time.Second

// unpin releases the session's connection, if it has one.
func (s *session) unpin(result ctpools.Result) {
	if p := s.pinned; p != nil {
		s.pinned = nil
		s.gateway.releasePinned(&s.held, p, result)
	}
}

// releasePinned releases a connection to the pool. On a primary, it also counts its
// use as ended.
func (g *Gateway) releasePinned(held *ctlock.Held, p *pinnedConn, result ctpools.Result) {
	g.Pools.Release(held, p.conn, result)
	if p.primary {
		g.endAtPrimary(held, p.group)
	}
}
