package ctgateway

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// drainPollInterval is the time between two checks whether all sessions have ended.
const drainPollInterval = 50 * time.Millisecond

// StopTimes are the ends of the phases of a planned stop, on the gateway's clock.
type StopTimes struct {
	// Transactions ends the time of open transactions. Their statements are refused
	// afterwards, except COMMIT and ROLLBACK.
	Transactions time.Time
	// Answers ends the waits for members' answers, and with them every session.
	Answers time.Time
	// Delivery ends the time in which callers take their last answers. Those that have
	// not are disconnected.
	Delivery time.Time
}

// Stop ends all sessions, each as soon as it has no transaction open. No query that the
// gateway has read is left without an answer: a transaction that takes too long is
// refused with its next statement, and a query whose member takes too long is answered
// with what is known. Stop reports whether all sessions ended by themselves.
func (g *Gateway) Stop(ctx context.Context, times StopTimes) bool {
	for i, phase := range []struct {
		begin func()
		until time.Time
	}{
		{g.MarkUnready, times.Transactions},
		{g.Pools.Stop.EndTransactions, times.Answers},
		{g.Pools.Stop.AbandonQueries, times.Delivery},
	} {
		phase.begin()
		phaseCtx, cancel := context.WithTimeout(ctx, phase.until.Sub(g.Clock.Now()))
		ended := g.Drain(phaseCtx)
		cancel()
		if ended {
			return i == 0
		}
	}
	g.disconnectAll()
	return false
}

// Drain ends each session as soon as it has no transaction open, and waits for them and
// for the queries of other proxies until ctx ends. It reports whether all have ended.
func (g *Gateway) Drain(ctx context.Context) bool {
	g.unready.Store(true)
	for {
		g.closeIdleSessions()
		if g.openConns.Load() == 0 && g.Pools.ForwardedConnections() == 0 && g.Pools.AnsweringForwarded() == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-g.Clock.After(drainPollInterval):
		}
	}
}

// closeIdleSessions makes each current session end as soon as it has no transaction
// open.
func (g *Gateway) closeIdleSessions() {
	var held ctlock.Held
	g.sessions.With(&held, func(sessions map[ctid.Session]*session) {
		for _, s := range sessions {
			s.closeWhenIdle.Store(true)
			s.caller.Interrupt()
		}
	})
}

// disconnectAll closes the connections of all callers that have a session. Those that are
// left then don't take their answers.
func (g *Gateway) disconnectAll() {
	var held ctlock.Held
	g.sessions.With(&held, func(sessions map[ctid.Session]*session) {
		for _, s := range sessions {
			s.caller.Close()
		}
	})
}

// mayEnd reports whether the session ends unless a query has arrived.
func (s *session) mayEnd() bool {
	return s.closeWhenIdle.Load() && (!s.dialog.InTransaction() || s.gateway.Pools.Stop.QueriesAbandoned())
}

// refuseByStop returns the refusal of a statement for which the planned stop has come too
// far, or nil. Such a statement was not sent, so that its caller can run the operation
// again elsewhere.
func (s *session) refuseByStop(e *execution) ctdialog.Result {
	stop := &s.gateway.Pools.Stop
	inTransaction := e.run.Pinned || e.run.Begin.Statement != nil
	_, commits := e.run.Query.Statement.(ctquery.Commit)
	if !stop.QueriesAbandoned() && (!inTransaction || commits || !stop.TransactionsEnding()) {
		return nil
	}
	e.refusal = refusalStopping
	fault := ctquery.FaultBusy
	if inTransaction {
		fault = ctquery.FaultAborted
	}
	return ctdialog.Refused{Fault: fault, Text: "this proxy is about to stop; run it again now, elsewhere"}
}
