package ctholding

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctconfirm"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctwatch"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// commit makes a commit wait for its confirmation.
func (m *member) commit(e committed, members []ctid.Member, a *actions) {
	m.doubtAll(m.board.BeginTerm(e.term), a)
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
	m.reach(m.watch.RecordStatus(m.status, history), false, a)
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
	_, unconfirmed := m.board.HighestPending()
	return unconfirmed || m.leaving || !m.retireBy.IsZero() || m.queue.Waiting() > 0 || m.watch.Len() > 0
}
