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
	// startTime is how long a caller may take to ask for a database.
	startTime = 5 * time.Second
	// firstTime is how long a caller waits for a proxy that has just started.
	firstTime = 1500 * time.Millisecond
	// defaultTransactionIdle ends a transaction that rests for so long, where the
	// configuration says nothing.
	defaultTransactionIdle = 3 * time.Second
	// defaultTarget stands for the target latency of a route that has none.
	defaultTarget = 500 * time.Millisecond
)

// conversation is a caller's connection with its session.
type conversation struct {
	gateway *Gateway
	id      ctid.Session
	caller  Caller
	held    ctlock.Held
	dialog  ctdialog.Dialog
	// database is what the caller asked for, and route where it leads to now.
	database ctid.Database
	route    ctconfig.Route
	// pinned is the connection of the open transaction.
	pinned *pinned
	// leave reports that the session is to end once it rests.
	leave atomic.Bool
}

// pinned is a connection that an open transaction holds.
type pinned struct {
	conn *ctpools.Conn
	// group is the one that the transaction began in; the session's route may
	// lead elsewhere from the next one on.
	group   ctid.Group
	primary bool
	term    ctposition.Term
}

// serve serves one connection of a caller.
func (g *Gateway) serve(socket net.Conn) {
	c := &conversation{gateway: g, id: ctid.Session(g.last.Add(1)), caller: g.NewCaller(socket)}
	defer c.caller.Close()
	database, err := c.caller.ReadStartup(time.Now().Add(startTime))
	if err != nil {
		g.Logger.Debug().Str("event", "start_refused").Str("error", err.Error()).Send()
		return
	}
	c.database = database
	if !c.awaitService() {
		g.Logger.Info().Str("event", "start_refused").Str("database", string(database)).
			Str("why", "just_started").Send()
		_ = c.caller.RefuseStartup(ctquery.FaultBusy, "this proxy has just started; retry after 500 ms")
		return
	}
	if g.served.Load() && g.lapsed(&c.held) {
		g.Logger.Info().Str("event", "start_refused").Str("database", string(database)).
			Str("why", "no_authority").Send()
		_ = c.caller.RefuseStartup(ctquery.FaultBusy, "this proxy is out of touch with control; retry now, elsewhere")
		return
	}
	if !c.lookUp() {
		fault, why, text := c.noRoute()
		g.Logger.Info().Str("event", "start_refused").Str("database", string(database)).Str("why", why).Send()
		_ = c.caller.RefuseStartup(fault, text)
		return
	}
	if c.caller.AcceptStartup() != nil {
		return
	}
	g.sessions.With(&c.held, func(rows map[ctid.Session]*conversation) { rows[c.id] = c })
	g.Metrics.Sessions.Inc()
	defer g.Metrics.Sessions.Dec()
	defer c.finish()
	c.converse()
}

// awaitService waits until a proxy that has just started can serve the session,
// and reports whether it has a configuration. A proxy that had authority once
// keeps nobody waiting here.
func (c *conversation) awaitService() bool {
	g := c.gateway
	limit := g.Clock.Now().Add(firstTime)
	for {
		view := g.State.View(&c.held)
		if !g.State.AuthorityExpiry(&c.held).IsZero() && view.Config.Revision > 0 && (!c.lookUp() || c.open(view)) {
			return true
		}
		if !g.Clock.Now().Before(limit) {
			return view.Config.Revision > 0
		}
		<-g.Clock.After(pauseTime)
	}
}

// open reports whether there is a connection to the primary of the session's
// group, or has been one.
func (c *conversation) open(view *ctview.View) bool {
	if c.gateway.served.Load() {
		return true
	}
	primary := view.Groups[c.route.Group].Primary
	return c.gateway.Pools.EverReached(&c.held, primary)
}

// noRoute tells what a caller of a database without a route is answered. A proxy
// that may lack the newest configuration can't know that there is none.
func (c *conversation) noRoute() (fault ctquery.Fault, why, text string) {
	g := c.gateway
	if g.State.ConfigOutdated(&c.held) || !g.Clock.Now().Before(g.State.AuthorityExpiry(&c.held)) {
		return ctquery.FaultBusy, "configuration_uncertain",
			"this proxy may lack the newest configuration; retry now, elsewhere"
	}
	return ctquery.FaultNoDatabase, "no_route", "no route leads to this database"
}

// finish forgets the session. What its transaction did is rolled back.
func (c *conversation) finish() {
	c.rollBack()
	c.gateway.sessions.With(&c.held, func(rows map[ctid.Session]*conversation) { delete(rows, c.id) })
}

// lookUp finds the route of the session's database in the configuration in
// force.
func (c *conversation) lookUp() bool {
	route, ok := c.gateway.State.View(&c.held).Config.Document.Route(c.database)
	if ok {
		c.route = route
		c.gateway.use(&c.held, route.Group)
	}
	return ok
}

// converse serves the caller's queries until the session ends.
func (c *conversation) converse() {
	for {
		if c.leave.Load() && !c.dialog.InTransaction() {
			return
		}
		query, err := c.caller.ReadQuery(c.restUntil())
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !c.rested() {
				return
			}
			continue
		default:
			return
		}
		if c.caller.WriteAnswer(c.handle(query)) != nil {
			return
		}
	}
}

// restUntil returns until when the caller may rest: zero for as long as it
// likes.
func (c *conversation) restUntil() time.Time {
	if !c.dialog.InTransaction() {
		return time.Time{}
	}
	settings := c.gateway.State.View(&c.held).Config.Document.Defaults
	return time.Now().Add(settings.Sessions.TransactionTimeout.Or(defaultTransactionIdle))
}

// rested handles the end of a rest: a transaction that idled too long, or the
// order to leave. It reports whether the session goes on.
func (c *conversation) rested() bool {
	if !c.dialog.InTransaction() {
		return !c.leave.Load()
	}
	if c.leave.Load() {
		// The transaction may go on; the interruption was for sessions that rest.
		return true
	}
	if c.dialog.FailTransaction() {
		c.gateway.Logger.Info().Str("event", "decision").Str("decision", "end_transaction").
			Uint64("session", uint64(c.id)).Str("why", "idle").Send()
	}
	c.rollBack()
	return true
}

// handle handles one query and returns the answer.
func (c *conversation) handle(query ctquery.Query) ctquery.Answer {
	if !c.dialog.InTransaction() && !c.lookUp() {
		fault, _, text := c.noRoute()
		return ctquery.Answer{Fault: fault, Text: text}
	}
	switch plan := c.dialog.HandleQuery(query).(type) {
	case ctdialog.Answer:
		if plan.Rollback {
			c.rollBack()
		}
		return plan.Answer
	case ctdialog.Run:
		return c.run(plan)
	}
	return ctquery.Answer{Fault: ctquery.FaultMalformed}
}

// rollBack ends the open transaction on its connection, which can then serve
// others: a new one would take the member's time. A connection that broke or
// owes an answer is closed.
func (c *conversation) rollBack() {
	p := c.pinned
	if p == nil {
		return
	}
	if !p.conn.Alive() {
		c.unpin(ctpools.Result{Discard: true})
		return
	}
	c.pinned = nil
	go func() {
		var held ctlock.Held
		until := c.gateway.Clock.Now().Add(rollbackTime)
		answer, err := p.conn.Run(nil, ctquery.Query{Statement: ctquery.Rollback{}}, ctpools.Limits{Deadline: until})
		use := ctpools.Result{Discard: err != nil, Answered: err == nil}
		if err == nil && (!answer.OK() || answer.Transaction != ctquery.TransactionNone) {
			use.Discard = true
		}
		c.gateway.giveBack(&held, p, use)
	}()
}

// rollbackTime bounds a rollback.
const rollbackTime = time.Second

// unpin gives the connection of the open transaction back.
func (c *conversation) unpin(use ctpools.Result) {
	if p := c.pinned; p != nil {
		c.pinned = nil
		c.gateway.giveBack(&c.held, p, use)
	}
}

func (g *Gateway) giveBack(held *ctlock.Held, p *pinned, use ctpools.Result) {
	g.Pools.Release(held, p.conn, use)
	if p.primary {
		g.leave(held, p.group)
	}
}
