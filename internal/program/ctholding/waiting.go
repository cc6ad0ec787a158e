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

// addWrite makes a commit wait for its confirmation, unless it is confirmed
// already.
func (m *member) addWrite(e committed, members []ctid.Member, a *actions) {
	m.failWrites(m.confirmations.BeginTerm(e.term), a)
	if m.confirmations.Add(e.write) {
		a.deliver(e.exchange, writeConfirmed{})
		return
	}
	m.requestConfirmations(members)
}

// confirmWrites delivers the confirmation to the exchanges of the keys.
func (m *member) confirmWrites(keys []ctconfirm.Key, a *actions) {
	for _, k := range keys {
		if x, ok := m.exchanges[ctadmit.Exchange(k)]; ok {
			a.deliver(x, writeConfirmed{})
		}
	}
}

// failWrites delivers an unknown outcome to exchanges whose commits were not
// confirmed in time or in their term.
func (m *member) failWrites(keys []ctconfirm.Key, a *actions) {
	for _, k := range keys {
		if x, ok := m.exchanges[ctadmit.Exchange(k)]; ok {
			a.deliver(x, outcomeUnknown{reason: ctoutcome.ReasonUnconfirmed})
		}
	}
}

// addWaiter adds a waiter for a point. It makes the monitor read the status at once
// if the member has not reached the point.
func (m *member) addWaiter(e waitRequested, history ctposition.History, a *actions) {
	m.lastWaitKey++
	e.entry.Key = m.lastWaitKey
	m.waiters[m.lastWaitKey] = e.waiter
	m.waitList.Add(e.entry)
	m.endWaits(m.waitList.RecordStatus(m.status, history), false, a)
	if m.waitList.Len() > 0 {
		a.toSample = m
	}
}

// endWaits delivers the end of their wait to the waiters of the keys.
func (m *member) endWaits(keys []ctwatch.WaiterKey, timedOut bool, a *actions) {
	for _, k := range keys {
		a.deliver(m.waiters[k], waitEnded{timedOut: timedOut, status: m.status})
		delete(m.waiters, k)
	}
}

// expire ends the waits whose deadline has passed.
func (m *member) expire(now time.Time, a *actions) {
	if m.queue.Waiting() > 0 {
		m.applyEffects(m.queue.Step(now, ctadmit.Tick{}), a)
	}
	m.failWrites(m.confirmations.Expire(now), a)
	m.endWaits(m.waitList.Expire(now), true, a)
}

// hasDeadline reports whether the member needs ticks: it drains, is handed over, or
// has requests, commits or waiters pending.
func (m *member) hasDeadline() bool {
	_, unconfirmed := m.confirmations.HighestPending()
	return unconfirmed || m.draining || !m.handoverDeadline.IsZero() || m.queue.Waiting() > 0 || m.waitList.Len() > 0
}
