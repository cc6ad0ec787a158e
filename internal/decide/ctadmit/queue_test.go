package ctadmit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

var epoch = time.Unix(0, 0)

// newRequest returns the event of a caller's request, with a deadline in an hour.
func newRequest(exchange ctadmit.Exchange, caller ctid.Caller) ctadmit.Request {
	return ctadmit.Request{Exchange: exchange, Caller: caller, Deadline: epoch.Add(time.Hour)}
}

// admitted returns the exchanges that the effects admit, in order.
func admitted(effects []ctadmit.Effect) []ctadmit.Exchange {
	var exchanges []ctadmit.Exchange
	for _, e := range effects {
		if a, ok := e.(ctadmit.Admit); ok {
			exchanges = append(exchanges, a.Exchange)
		}
	}
	return exchanges
}

func assertAdmits(t *testing.T, effects []ctadmit.Effect, want ...ctadmit.Exchange) {
	t.Helper()
	assert.DeepEqual(t, admitted(effects), want)
}

func assertRefuses(t *testing.T, effects []ctadmit.Effect, want ctoutcome.Reason) {
	t.Helper()
	assert.Equal(t, len(effects), 1)
	refused, ok := effects[0].(ctadmit.Refuse)
	assert.Assert(t, ok)
	assert.Equal(t, refused.Reason, want)
}

func TestQueue(t *testing.T) {
	t.Run("admits as many requests as there are slots", func(t *testing.T) {
		q := ctadmit.Queue{Slots: 2, MaxConnections: 10}
		assertAdmits(t, q.Step(epoch, newRequest(1, "a")), 1)
		assertAdmits(t, q.Step(epoch, newRequest(2, "a")), 2)
		assertAdmits(t, q.Step(epoch, newRequest(3, "a")))
		assertAdmits(t, q.Step(epoch, ctadmit.ExchangeDone{Exchange: 1, Reusable: true}), 3)
	})
	t.Run("admits callers round robin", func(t *testing.T) {
		q := ctadmit.Queue{Slots: 1, MaxConnections: 10}
		q.Step(epoch, newRequest(1, "burst"))
		q.Step(epoch, newRequest(2, "burst"))
		q.Step(epoch, newRequest(3, "burst"))
		q.Step(epoch, newRequest(4, "other"))
		assertAdmits(t, q.Step(epoch, ctadmit.ExchangeDone{Exchange: 1}), 2)
		assertAdmits(t, q.Step(epoch, ctadmit.ExchangeDone{Exchange: 2}), 4)
		assertAdmits(t, q.Step(epoch, ctadmit.ExchangeDone{Exchange: 4}), 3)
	})
	t.Run("admits requests of open transactions first", func(t *testing.T) {
		q := ctadmit.Queue{Slots: 1, MaxConnections: 10}
		q.Step(epoch, newRequest(1, "a"))
		q.Step(epoch, ctadmit.RequestDone{Exchange: 1})
		q.Step(epoch, newRequest(2, "b"))
		q.Step(epoch, newRequest(3, "b"))
		assertAdmits(t, q.Step(epoch, newRequest(1, "a")))
		assertAdmits(t, q.Step(epoch, ctadmit.ExchangeDone{Exchange: 2}), 1)
	})
	t.Run("refuses a request that can't start before its deadline", func(t *testing.T) {
		q := ctadmit.Queue{Slots: 1, MaxConnections: 10}
		q.Step(epoch, newRequest(1, "a"))
		now := epoch.Add(time.Second)
		q.Step(now, ctadmit.ExchangeDone{Exchange: 1, Reusable: true})
		q.Step(now, newRequest(2, "a"))
		request := newRequest(3, "a")
		request.Deadline = now.Add(time.Second / 2)
		assertRefuses(t, q.Step(now, request), ctoutcome.ReasonDeadline)
	})
	t.Run("refuses a request that waited past its deadline", func(t *testing.T) {
		q := ctadmit.Queue{Slots: 1, MaxConnections: 10}
		q.Step(epoch, newRequest(1, "a"))
		q.Step(epoch, newRequest(2, "a"))
		assertRefuses(t, q.Step(epoch.Add(time.Hour), ctadmit.Tick{}), ctoutcome.ReasonDeadline)
	})
	t.Run("refuses a request when the queue is full", func(t *testing.T) {
		q := ctadmit.Queue{Slots: 1, MaxConnections: 10, MaxWaiting: 1}
		q.Step(epoch, newRequest(1, "a"))
		q.Step(epoch, newRequest(2, "a"))
		assertRefuses(t, q.Step(epoch, newRequest(3, "a")), ctoutcome.ReasonQueueFull)
	})
	t.Run("refuses new exchanges from Drain to Resume", func(t *testing.T) {
		q := ctadmit.Queue{Slots: 1, MaxConnections: 10}
		q.Step(epoch, ctadmit.Drain{})
		assertRefuses(t, q.Step(epoch, newRequest(1, "a")), ctoutcome.ReasonLeaving)
		q.Step(epoch, ctadmit.Resume{})
		assertAdmits(t, q.Step(epoch, newRequest(2, "a")), 2)
	})
}

// TestQueueKeepsLimits checks with random events that a queue never admits more
// requests than its slots and connections allow, and that it counts the running
// requests correctly.
func TestQueueKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := ctadmit.Queue{
			Slots:          rapid.IntRange(1, 3).Draw(t, "slots"),
			MaxConnections: rapid.IntRange(1, 5).Draw(t, "budget"),
		}
		m := model{queue: &q, running: make(map[ctadmit.Exchange]bool), connected: make(map[ctadmit.Exchange]bool)}
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Millisecond)
			m.step(t, now)
			if len(m.running) > q.Slots || q.Running() != len(m.running) {
				t.Fatalf("%d requests run on %d slots (the queue says %d)", len(m.running), q.Slots, q.Running())
			}
			if q.Connections() > q.MaxConnections {
				t.Fatalf("%d connections are open of %d", q.Connections(), q.MaxConnections)
			}
		}
	})
}

// model records which exchanges a queue admitted.
type model struct {
	queue     *ctadmit.Queue
	last      ctadmit.Exchange
	running   map[ctadmit.Exchange]bool
	connected map[ctadmit.Exchange]bool
}

// step sends the queue a random event.
func (m *model) step(t *rapid.T, now time.Time) {
	switch rapid.IntRange(0, 3).Draw(t, "event") {
	case 0:
		m.last++
		caller := ctid.Caller(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"))
		m.recordAdmitted(m.queue.Step(now, newRequest(m.last, caller)))
	case 1:
		if x, ok := m.pick(m.running); ok {
			delete(m.running, x)
			m.recordAdmitted(m.queue.Step(now, ctadmit.RequestDone{Exchange: x}))
		}
	case 2:
		if x, ok := m.pick(m.connected); ok {
			delete(m.running, x)
			delete(m.connected, x)
			reusable := rapid.Bool().Draw(t, "reusable")
			m.recordAdmitted(m.queue.Step(now, ctadmit.ExchangeDone{Exchange: x, Reusable: reusable}))
		}
	case 3:
		if x, ok := m.pick(m.connected); ok && !m.running[x] {
			m.recordAdmitted(m.queue.Step(now, newRequest(x, "a")))
		}
	}
}

// pick returns the lowest exchange of a set, and false if the set is empty.
func (m *model) pick(set map[ctadmit.Exchange]bool) (ctadmit.Exchange, bool) {
	for x := ctadmit.Exchange(1); x <= m.last; x++ {
		if set[x] {
			return x, true
		}
	}
	return 0, false
}

func (m *model) recordAdmitted(effects []ctadmit.Effect) {
	for _, x := range admitted(effects) {
		m.running[x] = true
		m.connected[x] = true
	}
}
