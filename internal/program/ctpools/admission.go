package ctpools

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmission"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

const (
	// minPause is the shortest pause after which waiting requests are looked at again.
	minPause = time.Millisecond
	// overdueAfter is how long the next request waits for a connection of its workspace before an
	// idle one of another workspace is closed for it, though a later request could use that one.
	overdueAfter = 40 * time.Millisecond
	// overdueInterval is the least time between two such connections. In an overload all requests
	// are overdue, and opening connections takes the place of statements.
	overdueInterval = 200 * time.Millisecond
)

// systemRandom draws from the process-wide random source.
type systemRandom struct{}

// Int64N returns a random number from 0 to n-1.
func (systemRandom) Int64N(n int64) int64 {
	return rand.Int64N(n)
}

// serves reports whether the connection may be passed to a request.
func (c *Conn) serves(r *ctadmission.Request) bool {
	return r.AnyWorkspace || c.workspace == r.Workspace
}

// limited reports whether the statements in flight are limited. Streams are not: the proxies at
// their other ends limit theirs.
func (m *memberPool) limited() bool {
	return len(m.forwarders) == 0
}

// admits reports whether a request may get a connection now. Status queries of the system's own
// always may.
func (m *memberPool) admits(now time.Time, r *ctadmission.Request) bool {
	return !m.limited() || r.AnyWorkspace || m.statements.Allows(now)
}

// enqueue adds a request whose connection is sent to ready.
func (m *memberPool) enqueue(r ctadmission.Request, ready chan *Conn) ctadmission.Ticket {
	if m.ready == nil {
		m.ready = make(map[ctadmission.Ticket]chan *Conn)
	}
	ticket := m.queue.Add(r)
	m.ready[ticket] = ready
	return ticket
}

// failWaiters fails all requests that wait.
func (m *memberPool) failWaiters() {
	for _, r := range m.queue.Clear() {
		close(m.ready[r.Ticket])
	}
	clear(m.ready)
}

// rejectLate returns an error of kind cterror.Exhausted for a request that would not get a
// connection by its deadline.
func (p *Pools) rejectLate(m *memberPool, now time.Time, r ctadmission.Request) error {
	wait := m.queue.ExpectedWait(now, r)
	if r.AnyWorkspace || wait == 0 || now.Add(wait).Before(r.Deadline) {
		return nil
	}
	p.countRefusal(m.server.Member, refusedOnArrival)
	return cterror.New(cterror.Exhausted, "too many requests wait for the member", "try another member")
}

// refusalReason is why a request got no connection: a label of a metric.
type refusalReason string

const (
	// refusedOnArrival: it was not expected to get one in time.
	refusedOnArrival refusalReason = "on_arrival"
	// refusedAfterWait: it got none by its deadline.
	refusedAfterWait refusalReason = "after_wait"
)

// countRefusal counts a request that got no connection.
func (p *Pools) countRefusal(name ctid.Member, reason refusalReason) {
	if p.Metrics != nil {
		p.Metrics.Refusals.WithLabelValues(string(name), string(reason)).Inc()
	}
}

// setGauges sets the metrics of a member's load.
func (p *Pools) setGauges(m *memberPool) {
	if p.Metrics == nil || !m.limited() {
		return
	}
	name := string(m.server.Member)
	p.Metrics.WaitingRequests.WithLabelValues(name).Set(float64(m.queue.Len()))
	p.Metrics.RunningRequests.WithLabelValues(name).Set(float64(m.statements.InFlight()))
	p.Metrics.Connections.WithLabelValues(name).Set(float64(m.open))
	p.Metrics.StatementBounds.WithLabelValues(name).Set(float64(m.statements.Bound()))
}

// ExpectedWait returns how long a request to a member would wait for a connection, or 0 if that
// is not known.
func (p *Pools) ExpectedWait(held *ctlock.Held, name ctid.Member, options AcquireOptions) time.Duration {
	wait := time.Duration(0)
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok {
			now := p.Clock.Now()
			wait = max(
				m.queue.ExpectedWait(now, ctadmission.Request{Priority: options.Priority, Workspace: options.Workspace}),
				m.statements.PausedUntil().Sub(now),
			)
		}
	})
	return wait
}

// serveWaiters passes idle connections to the requests that wait, as far as the limit of
// statements in flight allows, and opens one for the next request that has none.
func (p *Pools) serveWaiters(m *memberPool) {
	if m.queue.Len() == 0 {
		return
	}
	now := p.Clock.Now()
	m.closeBroken()
	p.dialForOverdue(m, now)
	for len(m.idle) > 0 {
		r, ok := m.queue.Next(now, func(r *ctadmission.Request) bool { return m.admits(now, r) && m.hasIdle(r) })
		if !ok {
			break
		}
		conn := m.popIdle(nil, &r)
		ready := m.ready[r.Ticket]
		delete(m.ready, r.Ticket)
		if conn == nil {
			close(ready)
			continue
		}
		p.markAcquired(m, conn)
		ready <- conn
	}
	p.dialForWaiter(m, now)
	p.scheduleWake(m, now)
}

// hasIdle reports whether an idle connection may be passed to a request.
func (m *memberPool) hasIdle(r *ctadmission.Request) bool {
	return slices.ContainsFunc(m.idle, func(c *Conn) bool { return c.serves(r) })
}

// dialForOverdue opens a connection for the next request if it has waited for long. Connections
// that are passed from one request to the next never become idle for those of other workspaces.
func (p *Pools) dialForOverdue(m *memberPool, now time.Time) {
	r, ok := m.queue.Peek(now, func(r *ctadmission.Request) bool { return m.admits(now, r) })
	if !ok || now.Sub(r.AddedAt) < overdueAfter || m.dialing > 0 || m.hasIdle(&r) {
		return
	}
	if now.Sub(m.overdueAt) >= overdueInterval {
		m.overdueAt = now
		p.dialMore(m, r.Workspace)
	}
}

// dialForWaiter starts to open a connection for the next request that waits, if any has none on
// the way. Requests whose workspace has none on the way come first.
func (p *Pools) dialForWaiter(m *memberPool, now time.Time) {
	if m.queue.Len() <= m.dialing {
		return
	}
	r, ok := m.queue.Peek(now, func(r *ctadmission.Request) bool {
		return m.admits(now, r) && m.dialingFor[r.Workspace] == 0
	})
	if !ok {
		r, ok = m.queue.Peek(now, func(r *ctadmission.Request) bool { return m.admits(now, r) })
	}
	if ok {
		p.dialMore(m, r.Workspace)
	}
}

// scheduleWake arranges that serveWaiters runs after the next pause, if requests wait for its end.
func (p *Pools) scheduleWake(m *memberPool, now time.Time) {
	if m.queue.Len() == 0 {
		return
	}
	p.wakeAt(m, now, m.statements.PausedUntil())
	p.wakeAt(m, now, m.opening.RetryAt())
}

// wakeAt runs serveWaiters at a later time, unless it runs before that anyway.
func (p *Pools) wakeAt(m *memberPool, now, at time.Time) {
	if !now.Before(at) || (!m.wakesAt.IsZero() && !at.Before(m.wakesAt)) {
		return
	}
	m.wakesAt = at
	name := m.server.Member
	timer := p.Clock.After(max(minPause, at.Sub(now)))
	go func() {
		<-timer
		var held ctlock.Held
		p.members.With(&held, func(members map[ctid.Member]*memberPool) {
			if members[name] != m {
				return
			}
			if m.wakesAt.Equal(at) {
				m.wakesAt = time.Time{}
			}
			p.serveWaiters(m)
		})
	}()
}

// startStatement counts a statement that is in flight on a connection.
func (m *memberPool) startStatement(conn *Conn) {
	if conn.pools != nil && !conn.inFlight {
		conn.inFlight = true
		m.statements.Start()
	}
}

// endStatement stops counting the statement on a connection that is released. It has no effect
// if its answer has arrived.
func (m *memberPool) endStatement(conn *Conn) {
	if conn.inFlight {
		conn.inFlight = false
		m.statements.Discard()
	}
}

// runMeasured runs a query on a connection to a member. It counts the query among the statements
// in flight and records its outcome, which may let other requests start.
func (p *Pools) runMeasured(
	conn *Conn, state *ctdialog.State, query ctquery.Query, limits Limits,
) (ctquery.Answer, error) {
	var held ctlock.Held
	sentAt := p.Clock.Now()
	p.withPoolOf(&held, conn, func(m *memberPool) { m.startStatement(conn) })
	answer, err := conn.executor.run(state, query, limits)
	p.withPoolOf(&held, conn, func(m *memberPool) {
		if !conn.inFlight {
			return
		}
		now := p.Clock.Now()
		conn.inFlight = false
		m.statements.Finish(now, sentAt, outcomeOf(query, answer, err, now.Sub(sentAt)), p.Random)
		p.logBound(m)
		p.serveWaiters(m)
	})
	return answer, err
}

// withPoolOf runs an action on the pool of a connection, if its member still runs.
func (p *Pools) withPoolOf(held *ctlock.Held, conn *Conn, action func(m *memberPool)) {
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[conn.Member]; ok && m.server.Incarnation == conn.incarnation {
			action(m)
		}
	})
}

// outcomeOf returns what an answer says of the member's load. Statements that occupy no slot say
// nothing.
func outcomeOf(query ctquery.Query, answer ctquery.Answer, err error, took time.Duration) ctadmission.Outcome {
	if err != nil {
		return ctadmission.Unmeasured{}
	}
	switch answer.Fault {
	case ctquery.FaultBusy:
		return ctadmission.Rejected{}
	case ctquery.FaultNone:
	default:
		return ctadmission.Unmeasured{}
	}
	switch query.Statement.(type) {
	case ctquery.Begin, ctquery.Rollback, ctquery.ReadStatus:
		return ctadmission.Unmeasured{}
	}
	return ctadmission.Answered{Latency: took}
}

// logBound logs a bound of the statements in flight that has changed by half or more.
func (p *Pools) logBound(m *memberPool) {
	bound := m.statements.Bound()
	if (bound == 0) == (m.loggedBound == 0) && bound < 2*m.loggedBound && 2*bound > m.loggedBound {
		return
	}
	if bound == m.loggedBound {
		return
	}
	m.loggedBound = bound
	ctlog.Decision(&p.Logger, "limit_statements").Str("member", string(m.server.Member)).
		Int("bound", bound).Int("in_flight", m.statements.InFlight()).Int("waiting", m.queue.Len()).Send()
}
