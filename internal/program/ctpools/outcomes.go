package ctpools

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// updatePolicy determines the policy in force from the settings and the configuration.
func (p *Pools) updatePolicy(view *ctview.View) {
	switch p.Policy.(type) {
	case ctplace.Balanced:
		p.balanced.Store(true)
	case ctplace.ByLatency:
		p.balanced.Store(false)
	default:
		p.balanced.Store(view.Config.Document.RequireKeys)
	}
}

// PolicyInForce returns how members are selected. Loads and outcomes are recorded only with
// ctplace.Balanced.
func (p *Pools) PolicyInForce() ctplace.Policy {
	if p.balanced.Load() {
		return ctplace.Balanced{}
	}
	return ctplace.ByLatency{}
}

// newForwardingExecutor returns the executor of a stream, which records the loads that the other
// proxy reports.
func (p *Pools) newForwardingExecutor(member ctid.Member, stream ctframe.Stream) *forwardingExecutor {
	e := newForwardingExecutor(member, stream, p.Clock)
	e.recordLoad = p.recordLoad
	return e
}

// recordLoad records the load of a member that a forwarding proxy reported.
func (p *Pools) recordLoad(name ctid.Member, load time.Duration) {
	var held ctlock.Held
	p.members.With(&held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok {
			m.hint = ctplace.Hint{Excess: load, ReceivedAt: p.Clock.Now()}
		}
	})
}

// loadOf returns the load of a member for the replies to other proxies; 0 if it is not told.
func (p *Pools) loadOf(held *ctlock.Held, name ctid.Member) time.Duration {
	load := time.Duration(0)
	if !p.balanced.Load() {
		return load
	}
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok {
			load = ctplace.Load(p.Clock.Now(), m.latency, m.running, m.queue.Len())
		}
	})
	return load
}

// RecordOutcome records whether a member served a query of a caller that Conn.Run ran. Answers
// that say nothing about the member's condition are ignored, and so are failures on the way to a
// forwarding proxy. Status queries are not recorded: a member may answer them and fail others.
func (p *Pools) RecordOutcome(
	held *ctlock.Held, conn *Conn, state *ctdialog.State, statement ctquery.Statement, answer ctquery.Answer, err error,
) {
	failed := memberFailed(conn, answer, err, reads(state, statement))
	if !p.balanced.Load() || p.Stop.QueriesAbandoned() || (!failed && (err != nil || !answer.OK())) {
		return
	}
	changed := false
	var standing ctplace.Standing
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[conn.Member]
		if !ok || m.server.Incarnation != conn.incarnation {
			return
		}
		now := p.Clock.Now()
		if failed {
			changed = m.outcomes.Fail(now)
		} else {
			changed = m.outcomes.Succeed(now)
		}
		standing = m.outcomes.Standing(now)
	})
	if changed {
		p.reportStanding(conn.Member, standing)
	}
}

// reads reports whether a statement is a read, or the execution of a prepared one.
func reads(state *ctdialog.State, statement ctquery.Statement) bool {
	switch statement.(type) {
	case ctquery.Read:
		return true
	case ctquery.Execute:
		if state == nil {
			return false
		}
		shape := state.ShapeOf(statement)
		return shape != nil && !shape.Writes
	}
	return false
}

// memberFailed reports whether a query failed because of the member. A fault counts only for a
// read: one that is wrong fails at all members, while a write runs at the primary alone, so that
// the fault may be the caller's.
func memberFailed(conn *Conn, answer ctquery.Answer, err error, read bool) bool {
	if forwarding, ok := conn.executor.(*forwardingExecutor); ok && forwarding.pathFailed {
		return false
	}
	if err != nil {
		kind := cterror.KindOf(err)
		return kind == cterror.Expired || kind == cterror.Unavailable
	}
	return read && (answer.Fault == ctquery.FaultFailed || answer.Fault == ctquery.FaultTimeout)
}

// reportStanding logs and counts an ejection or a readmission.
func (p *Pools) reportStanding(name ctid.Member, standing ctplace.Standing) {
	event := ctlog.Decision(&p.Logger, "standing").Str("member", string(name))
	switch s := standing.(type) {
	case ctplace.Ejected:
		event.Str("to", "ejected").Int("ejections", s.Ejections).Dur("for", s.Until.Sub(p.Clock.Now()))
		if p.Metrics != nil {
			p.Metrics.Ejections.WithLabelValues(string(name)).Inc()
		}
	case ctplace.Serving:
		event.Str("to", "serving")
	}
	event.Send()
}

// PathTo returns the proxies over which the queries of a workspace reach a member, in the order
// in which they are tried. It returns this proxy if it has connections of its own.
func (p *Pools) PathTo(held *ctlock.Held, name ctid.Member, workspace ctid.Workspace) []ctid.Proxy {
	if o := p.ownership.Load(); o != nil {
		server, _ := p.serverOf(held, name)
		order := o.domains[server.FailureDomain].assignment.Order(p.Self.Name, workspace)
		return order[:min(len(order), ownerAttempts)]
	}
	path := []ctid.Proxy{p.Self.Name}
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok && len(m.forwarders) > 0 {
			path = nil
			for _, forwarder := range m.forwarders {
				path = append(path, ctid.Proxy(forwarder.Addr().String()))
			}
		}
	})
	return path
}

// Probe records that a request is sent to a member that is being readmitted. Others are kept
// away from it until its outcome is recorded.
func (p *Pools) Probe(held *ctlock.Held, name ctid.Member) {
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok {
			m.outcomes.Probe(p.Clock.Now())
		}
	})
}
