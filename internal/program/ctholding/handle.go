package ctholding

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctconfirm"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctwatch"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// actions are what a worker does after it has unlocked the tables.
type actions struct {
	tellings  []telling
	closing   []*ctbackend.Conn
	hasten    *member
	surrender surrender
	// news reports whether control should know at once.
	news bool
}

// surrender is a term whose lease is given up for good; its zero value is none.
type surrender struct {
	term ctposition.Term
	why  string
}

// Why a lease is given up.
const (
	whyPrimaryDown  = "primary_down"
	whyWorkEnded    = "leaving_primary_ended_its_work"
	whyHandoverTime = "leaving_primary_took_too_long"
)

// telling is an order for an exchange or another waiter.
type telling struct {
	to    waiter
	order order
}

func (a *actions) tell(to waiter, order order) {
	a.tellings = append(a.tellings, telling{to: to, order: order})
}

func (a *actions) perform() {
	for _, t := range a.tellings {
		t.to.tell(t.order)
	}
	for _, c := range a.closing {
		go c.Close()
	}
	if a.hasten != nil {
		a.hasten.hasten()
	}
}

// handle lets the decision packages decide on an event of a member.
func (h *Holding) handle(held *ctlock.Held, happened happening) {
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
		if m.leaving && m.queue.Open() == 0 && m.queue.Waiting() == 0 {
			m.end(&a)
			delete(rows, happened.member)
		}
	})
	if a.surrender.term > 0 {
		h.State.Surrender(held, group, a.surrender.term)
		h.logSurrender(group, a.surrender)
	}
	a.perform()
	if a.news {
		h.news()
	}
}

func (h *Holding) logSurrender(group ctid.Group, s surrender) {
	ctlog.Decision(&h.Logger, "surrender_lease").
		Str("group", string(group)).
		Uint64("term", uint64(s.term)).
		Str("why", s.why).
		Send()
}

// reject answers events of a member that is not held.
func (a *actions) reject(e event) {
	switch e := e.(type) {
	case queued:
		if e.exchange != nil {
			a.tell(e.exchange, refuse{reason: ctoutcome.ReasonNotHolder})
		}
		if e.idle != nil {
			a.closing = append(a.closing, e.idle)
		}
	case committed:
		a.tell(e.exchange, doubt{reason: ctoutcome.ReasonNotHolder})
	case awaited:
		a.tell(e.waiter, reached{late: true})
	}
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
		m.age.Mark(e.asked, e.point)
		m.age.Applied(m.status.Applied, history)
	case committed:
		m.commit(e, view.MembersOf(m.group), a)
	case confirmed:
		m.release(m.board.Confirm(e.replica, e.point), a)
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

// stepQueue passes an event to the member's queue.
func (m *member) stepQueue(now time.Time, e queued, a *actions) {
	switch q := e.event.(type) {
	case ctadmit.Ask:
		if !m.locked && !m.leaving {
			a.tell(e.exchange, refuse{reason: ctoutcome.ReasonNotHolder})
			return
		}
		m.exchanges[q.Exchange] = e.exchange
	case ctadmit.Leave:
		m.leave(q, e, a)
	case ctadmit.Close:
		a.closing = append(a.closing, m.idle...)
		m.idle = nil
	}
	m.apply(m.queue.Step(now, e.event), a)
}

// leave takes an exchange's connection back.
func (m *member) leave(q ctadmit.Leave, e queued, a *actions) {
	delete(m.exchanges, q.Exchange)
	m.watch.Remove(ctwatch.Key(q.Exchange))
	m.board.Remove(ctconfirm.Key(q.Exchange))
	if e.idle == nil {
		return
	}
	if q.Reusable && !m.leaving {
		m.idle = append(m.idle, e.idle)
		return
	}
	a.closing = append(a.closing, e.idle)
}

// apply turns the effects of the queue into orders.
func (m *member) apply(effects []ctadmit.Effect, a *actions) {
	for _, effect := range effects {
		switch f := effect.(type) {
		case ctadmit.Admit:
			a.tell(m.exchanges[f.Exchange], m.start(f))
		case ctadmit.Refuse:
			to, ok := m.exchanges[f.Exchange]
			if !ok {
				continue
			}
			a.tell(to, refuse{reason: f.Reason, retryAfter: f.RetryAfter})
		}
	}
}

// start takes an idle connection for an exchange that has none.
func (m *member) start(admit ctadmit.Admit) start {
	order := start{waited: admit.Waited}
	x := m.exchanges[admit.Exchange]
	if admit.Open || x.counted || len(m.idle) == 0 {
		x.counted = true
		return order
	}
	x.counted = true
	last := len(m.idle) - 1
	order.idle = m.idle[last]
	m.idle = m.idle[:last]
	return order
}

// sample takes a new status of the member.
func (m *member) sample(now time.Time, e sampled, history ctposition.History, a *actions) {
	if e.status.Incarnation != m.status.Incarnation {
		m.age.Forget()
		a.closing = append(a.closing, m.idle...)
		m.apply(m.queue.Step(now, ctadmit.Lost{Idle: len(m.idle)}), a)
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
	m.doubtAll(m.board.Begin(m.status.Received.Term), a)
	m.age.Applied(m.status.Applied, history)
	m.reach(m.watch.Sample(m.status, history), false, a)
}

// changed reports whether a member's status changed in more than its positions.
func changed(before, after ctserver.Status) bool {
	return before.Role != after.Role || before.Fence != after.Fence ||
		before.Received.Term != after.Received.Term || before.Incarnation != after.Incarnation
}

// silence notes that the member does not answer. The lease of a primary whose
// process is gone is given up, so that another one may be promoted at once.
func (m *member) silence(group ctview.Group, e silent, a *actions) {
	health := ctview.HealthSilent
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

// commit makes a commit wait for its confirmation.
func (m *member) commit(e committed, members []ctid.Member, a *actions) {
	m.doubtAll(m.board.Begin(e.term), a)
	if m.board.Add(e.write) {
		a.tell(e.exchange, release{})
		return
	}
	m.needConfirmation(members)
}

func (m *member) release(keys []ctconfirm.Key, a *actions) {
	for _, k := range keys {
		if x, ok := m.exchanges[ctadmit.Exchange(k)]; ok {
			a.tell(x, release{})
		}
	}
}

// doubtAll tells exchanges that their commits can't be confirmed any more.
func (m *member) doubtAll(keys []ctconfirm.Key, a *actions) {
	for _, k := range keys {
		if x, ok := m.exchanges[ctadmit.Exchange(k)]; ok {
			a.tell(x, doubt{reason: ctoutcome.ReasonUnconfirmed})
		}
	}
}

// await makes someone wait for the member to reach a point.
func (m *member) await(e awaited, history ctposition.History, a *actions) {
	m.lastKey++
	e.entry.Key = m.lastKey
	m.waiters[m.lastKey] = e.waiter
	m.watch.Add(e.entry)
	m.reach(m.watch.Sample(m.status, history), false, a)
	if m.watch.Len() > 0 {
		a.hasten = m
	}
}

// reach tells those who wait for the member.
func (m *member) reach(keys []ctwatch.Key, late bool, a *actions) {
	for _, k := range keys {
		a.tell(m.waiters[k], reached{late: late, status: m.status})
		delete(m.waiters, k)
	}
}

// tick ends what has waited for too long.
func (m *member) tick(now time.Time, a *actions) {
	if m.queue.Waiting() > 0 {
		m.apply(m.queue.Step(now, ctadmit.Tick{}), a)
	}
	m.doubtAll(m.board.Expire(now), a)
	m.reach(m.watch.Expire(now), true, a)
}

// expects reports whether something of the member has a deadline.
func (m *member) expects() bool {
	_, unconfirmed := m.board.Highest()
	return unconfirmed || m.leaving || !m.retireBy.IsZero() || m.queue.Waiting() > 0 || m.watch.Len() > 0
}

// observe sets the member's metrics.
func (m *member) observe() {
	name := string(m.announced.Member)
	metrics := m.holding.Metrics
	metrics.Waiting.WithLabelValues(name).Set(float64(m.queue.Waiting()))
	metrics.Running.WithLabelValues(name).Set(float64(m.queue.Running()))
	metrics.Open.WithLabelValues(name).Set(float64(m.queue.Open()))
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
