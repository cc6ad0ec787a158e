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

// handle lets the decision packages decide on an event of a member.
func (h *Holder) handle(held *ctlock.Held, happened happening) {
	view := h.State.View(held)
	now := h.Clock.Now()
	var a actions
	var group ctid.Group
	h.members.With(held, func(rows map[ctid.Member]*member) {
		m, ok := rows[happened.member]
		if !ok {
			a.reject(happened.event)
			return
		}
		group = m.group
		m.step(now, view, happened.event, &a)
		if m.leaving && m.queue.Connections() == 0 && m.queue.Waiting() == 0 {
			m.end(&a)
			delete(rows, happened.member)
		}
	})
	if a.surrender.term > 0 {
		h.State.SurrenderLease(held, group, a.surrender.term)
		h.logSurrender(group, a.surrender)
	}
	a.perform()
	if a.news {
		h.news()
	}
}

func (h *Holder) logSurrender(group ctid.Group, s surrender) {
	ctlog.Decision(&h.Logger, "surrender_lease").
		Str("group", string(group)).
		Uint64("term", uint64(s.term)).
		Str("why", s.why).
		Send()
}

// step takes one event of the member.
func (m *member) step(now time.Time, view *ctview.View, e event, a *actions) {
	history := view.Groups[m.announced.Group].History
	if m.outdated(e) {
		return
	}
	switch e := e.(type) {
	case queued:
		m.stepQueue(now, e, a)
	case sampled:
		m.sample(now, e, history, a)
	case silent:
		m.silence(view.Groups[m.group], e, a)
	case locked:
		m.lock(now, e, a)
	case marked:
		m.age.AddSample(e.asked, e.point)
		m.age.RecordApplied(m.status.Applied, history)
	case committed:
		m.commit(e, view.MembersOf(m.group), a)
	case confirmed:
		m.release(m.board.RecordReceived(e.replica, e.point), a)
	case awaited:
		m.await(e, history, a)
	case failed:
		a.hasten = m
	case ticked:
		m.tick(now, a)
		if e.observe {
			m.observe()
		}
		m.endRetiring(now, view.Groups[m.group], a)
	}
}

// outdated reports whether an event comes from an earlier watch.
func (m *member) outdated(e event) bool {
	switch e := e.(type) {
	case sampled:
		return e.watch != m.number
	case silent:
		return e.watch != m.number
	case locked:
		return e.watch != m.number
	}
	return false
}

// sample takes a new status of the member.
func (m *member) sample(now time.Time, e sampled, history ctposition.History, a *actions) {
	if e.status.Incarnation != m.status.Incarnation {
		m.age.Reset()
		a.closing = append(a.closing, m.idle...)
		m.apply(m.queue.Step(now, ctadmit.ConnectionsLost{Count: len(m.idle)}), a)
		m.idle = nil
	}
	a.news = m.health != ctview.HealthUp || changed(m.status, e.status)
	m.health = ctview.HealthUp
	m.status = e.status
	m.sampledAt = e.asked
	if e.others != m.others {
		m.others = e.others
		m.apply(m.queue.Step(now, m.limits()), a)
	}
	m.doubtAll(m.board.BeginTerm(m.status.Received.Term), a)
	m.age.RecordApplied(m.status.Applied, history)
	m.reach(m.watch.RecordStatus(m.status, history), false, a)
}

// changed reports whether a member's status changed in more than its positions.
func changed(before, after ctserver.Status) bool {
	return before.Role != after.Role || before.Fence != after.Fence ||
		before.Received.Term != after.Received.Term || before.Incarnation != after.Incarnation
}

// silence notes that the member does not answer. The lease of a primary whose
// process is gone is given up, so that another one may be promoted at once.
func (m *member) silence(group ctview.Group, e silent, a *actions) {
	health := ctview.HealthUnreachable
	if e.down {
		health = ctview.HealthDown
	}
	a.news = m.health != health
	if a.news && e.down && group.Primary == m.name {
		a.surrender = surrender{term: group.Term, why: whyPrimaryDown}
	}
	m.health = health
	m.abortReads()
}

// lock notes whether this proxy has the holder's lock.
func (m *member) lock(now time.Time, e locked, a *actions) {
	a.news = m.locked != e.held
	m.locked = e.held
	m.others = e.others
	m.apply(m.queue.Step(now, m.limits()), a)
}

// observe sets the member's metrics.
func (m *member) observe() {
	name := string(m.announced.Member)
	metrics := m.holding.Metrics
	metrics.WaitingRequests.WithLabelValues(name).Set(float64(m.queue.Waiting()))
	metrics.RunningRequests.WithLabelValues(name).Set(float64(m.queue.Running()))
	metrics.Connections.WithLabelValues(name).Set(float64(m.queue.Connections()))
}

// end gives up what the member still has.
func (m *member) end(a *actions) {
	a.closing = append(a.closing, m.idle...)
	m.idle = nil
	m.finish()
	var rest []ctwatch.Key
	for k := range m.waiters {
		rest = append(rest, k)
	}
	m.reach(rest, true, a)
}
