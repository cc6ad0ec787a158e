package ctholding

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctconfirm"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctwatch"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// stepQueue passes an event to the member's queue.
func (m *member) stepQueue(now time.Time, e queued, a *actions) {
	switch q := e.event.(type) {
	case ctadmit.Request:
		if !m.locked && !m.leaving {
			a.tell(e.exchange, refuse{reason: ctoutcome.ReasonNotHolder})
			return
		}
		m.exchanges[q.Exchange] = e.exchange
	case ctadmit.ExchangeDone:
		m.leave(q, e, a)
	case ctadmit.Drain:
		a.closing = append(a.closing, m.idle...)
		m.idle = nil
	}
	m.apply(m.queue.Step(now, e.event), a)
}

// leave takes an exchange's connection back.
func (m *member) leave(q ctadmit.ExchangeDone, e queued, a *actions) {
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
	if admit.Dial || x.counted || len(m.idle) == 0 {
		x.counted = true
		return order
	}
	x.counted = true
	last := len(m.idle) - 1
	order.idle = m.idle[last]
	m.idle = m.idle[:last]
	return order
}
