package ctholding

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctwatch"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// handle processes one event of a member. Workers call it; it changes the member
// under the lock of the table and performs the actions after it.
func (h *Holder) handle(held *ctlock.Held, item memberEvent) {
	view := h.State.View(held)
	now := h.Clock.Now()
	var a actions
	var group ctid.Group
	h.members.With(held, func(members map[ctid.Member]*member) {
		m, ok := members[item.member]
		if !ok {
			a.reject(item.event)
			return
		}
		group = m.group
		m.handleEvent(now, view, item.event, &a)
		if m.draining && m.queue.Connections() == 0 && m.queue.Waiting() == 0 {
			m.shutDown(&a)
			delete(members, item.member)
		}
	})
	if a.surrender.term > 0 {
		h.State.SurrenderLease(held, group, a.surrender.term)
		h.logSurrender(group, a.surrender)
	}
	a.perform()
	if a.urgent {
		h.onUrgentChange()
	}
}

func (h *Holder) logSurrender(group ctid.Group, s surrender) {
	ctlog.Decision(&h.Logger, "surrender_lease").
		Str("group", string(group)).
		Uint64("term", uint64(s.term)).
		Str("why", s.reason).
		Send()
}

// handleEvent updates the member after one event and adds to the actions.
func (m *member) handleEvent(now time.Time, view *ctview.View, e event, a *actions) {
	history := view.Groups[m.announcement.Group].History
	if m.isStale(e) {
		return
	}
	switch e := e.(type) {
	case queueEvent:
		m.handleQueueEvent(now, e, a)
	case statusRead:
		m.recordStatus(now, e, history, a)
	case unreachable:
		m.recordUnreachable(view.Groups[m.group], e, a)
	case lockChanged:
		m.recordLock(now, e, a)
	case positionReceived:
		m.age.AddSample(e.requestedAt, e.point)
		m.age.RecordApplied(m.status.Applied, history)
	case committed:
		m.addWrite(e, view.MembersOf(m.group), a)
	case replicaReceived:
		m.confirmWrites(m.confirmations.RecordReceived(e.replica, e.point), a)
	case waitRequested:
		m.addWaiter(e, history, a)
	case connectionFailed:
		a.toSample = m
	case ticked:
		m.expire(now, a)
		if e.updateMetrics {
			m.updateMetrics()
		}
		m.completeHandover(now, view.Groups[m.group], a)
	}
}

// isStale reports whether an event comes from an earlier monitor of the member.
func (m *member) isStale(e event) bool {
	switch e := e.(type) {
	case statusRead:
		return e.monitor != m.monitorNumber
	case unreachable:
		return e.monitor != m.monitorNumber
	case lockChanged:
		return e.monitor != m.monitorNumber
	}
	return false
}

// recordStatus records a new status of the member and ends the waits that it
// satisfies. After a restart of the member, its idle connections are closed.
func (m *member) recordStatus(now time.Time, e statusRead, history ctposition.History, a *actions) {
	if e.status.Incarnation != m.status.Incarnation {
		m.age.Reset()
		a.toClose = append(a.toClose, m.idle...)
		m.applyEffects(m.queue.Step(now, ctadmit.ConnectionsLost{Count: len(m.idle)}), a)
		m.idle = nil
	}
	a.urgent = m.health != ctview.HealthUp || statusChanged(m.status, e.status)
	m.health = ctview.HealthUp
	m.status = e.status
	m.sampledAt = e.requestedAt
	if e.otherConnections != m.otherConnections {
		m.otherConnections = e.otherConnections
		m.applyEffects(m.queue.Step(now, m.limits()), a)
	}
	m.failWrites(m.confirmations.BeginTerm(m.status.Received.Term), a)
	m.age.RecordApplied(m.status.Applied, history)
	m.endWaits(m.waitList.RecordStatus(m.status, history), false, a)
}

// statusChanged reports whether a status differs in more than its positions.
func statusChanged(before, after ctserver.Status) bool {
	return before.Role != after.Role || before.Fence != after.Fence ||
		before.Received.Term != after.Received.Term || before.Incarnation != after.Incarnation
}

// recordUnreachable records that the member does not answer. If the process of a
// primary is gone, its lease is surrendered so that control can promote another
// member at once.
func (m *member) recordUnreachable(group ctview.Group, e unreachable, a *actions) {
	health := ctview.HealthUnreachable
	if e.down {
		health = ctview.HealthDown
	}
	a.urgent = m.health != health
	if a.urgent && e.down && group.Primary == m.name {
		a.surrender = surrender{term: group.Term, reason: reasonPrimaryDown}
	}
	m.health = health
	m.abortReplicaReads()
}

// recordLock records whether this proxy has the holder's lock, and adjusts the
// limits of the queue.
func (m *member) recordLock(now time.Time, e lockChanged, a *actions) {
	a.urgent = m.hasLock != e.acquired
	m.hasLock = e.acquired
	m.otherConnections = e.otherConnections
	m.applyEffects(m.queue.Step(now, m.limits()), a)
}

// updateMetrics updates the member's gauges.
func (m *member) updateMetrics() {
	name := string(m.announcement.Member)
	metrics := m.holder.Metrics
	metrics.WaitingRequests.WithLabelValues(name).Set(float64(m.queue.Waiting()))
	metrics.RunningRequests.WithLabelValues(name).Set(float64(m.queue.Running()))
	metrics.Connections.WithLabelValues(name).Set(float64(m.queue.Connections()))
}

// shutDown stops the goroutines of a drained member, ends its waits and closes
// its idle connections.
func (m *member) shutDown(a *actions) {
	a.toClose = append(a.toClose, m.idle...)
	m.idle = nil
	m.cancelMember()
	var remaining []ctwatch.WaiterKey
	for k := range m.waiters {
		remaining = append(remaining, k)
	}
	m.endWaits(remaining, true, a)
}
