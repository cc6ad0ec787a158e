package ctholding

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctconfirm"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctwatch"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// handleQueueEvent applies an event to the member's queue.
func (m *member) handleQueueEvent(now time.Time, e queueEvent, a *actions) {
	switch q := e.event.(type) {
	case ctadmit.Request:
		if !m.hasLock && !m.draining {
			a.deliver(e.exchange, refused{reason: ctoutcome.ReasonNotHolder})
			return
		}
		m.exchanges[q.Exchange] = e.exchange
	case ctadmit.ExchangeDone:
		m.endExchange(q, e, a)
	case ctadmit.Drain:
		a.toClose = append(a.toClose, m.idle...)
		m.idle = nil
	}
	m.applyEffects(m.queue.Step(now, e.event), a)
}

// endExchange removes an exchange. Its connection becomes idle, or is closed if it
// can't be reused or the member drains.
func (m *member) endExchange(q ctadmit.ExchangeDone, e queueEvent, a *actions) {
	delete(m.exchanges, q.Exchange)
	m.waitList.Remove(ctwatch.WaiterKey(q.Exchange))
	m.confirmations.Remove(ctconfirm.Key(q.Exchange))
	if e.idle == nil {
		return
	}
	if q.Reusable && !m.draining {
		m.idle = append(m.idle, e.idle)
		return
	}
	a.toClose = append(a.toClose, e.idle)
}

// applyEffects delivers the decisions of the queue to the exchanges.
func (m *member) applyEffects(effects []ctadmit.Effect, a *actions) {
	for _, effect := range effects {
		switch f := effect.(type) {
		case ctadmit.Admit:
			a.deliver(m.exchanges[f.Exchange], m.admit(f))
		case ctadmit.Refuse:
			to, ok := m.exchanges[f.Exchange]
			if !ok {
				continue
			}
			a.deliver(to, refused{reason: f.Reason, retryAfter: f.RetryAfter})
		}
	}
}

// admit returns the result for an admitted exchange, with an idle connection if
// the exchange needs one and need not dial.
func (m *member) admit(effect ctadmit.Admit) admitted {
	r := admitted{waited: effect.Waited}
	x := m.exchanges[effect.Exchange]
	if effect.Dial || x.connectionCounted || len(m.idle) == 0 {
		x.connectionCounted = true
		return r
	}
	x.connectionCounted = true
	last := len(m.idle) - 1
	r.idle = m.idle[last]
	m.idle = m.idle[:last]
	return r
}
