package ctpools

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

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
