package ctadmit

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// smoothing is the weight of the past in the average service time: the newest
// sample counts for one eighth.
const smoothing = 8

// Queue is the queue of one member at its holder. Slots, Budget and Depth are
// set at its start.
type Queue struct {
	// Slots is how many statements the member runs at once.
	Slots int
	// MaxConnections is how many connections may be open at once.
	MaxConnections int
	// MaxWaiting is how many requests may wait.
	MaxWaiting int

	running map[Exchange]time.Time
	holding map[Exchange]bool
	idle    int
	closed  bool
	service time.Duration
	urgent  []waiter
	turns   turns
}

// waiter is a request that waits for a slot.
type waiter struct {
	exchange Exchange
	caller   ctid.Caller
	deadline time.Time
	since    time.Time
}

// Step takes one event and returns the effects to perform, in order.
func (q *Queue) Step(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Request:
		return q.ask(now, e)
	case RequestDone:
		q.stop(now, e.Exchange)
	case ExchangeDone:
		q.leave(now, e)
	case DialDone:
		q.opened(e)
	case ConnectionsLost:
		q.idle = max(0, q.idle-e.Count)
	case Resize:
		q.Slots, q.MaxConnections = e.Slots, e.MaxConnections
	case Drain:
		return q.close()
	case Resume:
		q.closed = false
	case Tick:
		return q.expire(now)
	}
	return q.admit(now)
}

// Connections returns how many connections are open or being opened.
func (q *Queue) Connections() int {
	return len(q.holding) + q.idle
}

// Running returns how many requests run.
func (q *Queue) Running() int {
	return len(q.running)
}

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int {
	return len(q.urgent) + q.turns.len()
}

// ExpectedWait returns how long a request that arrives now is expected to wait
// for a slot.
func (q *Queue) ExpectedWait() time.Duration {
	if q.Slots <= 0 || len(q.running)+q.Waiting() < q.Slots {
		return 0
	}
	ahead := len(q.running) + q.Waiting() - q.Slots + 1
	return q.service * time.Duration(ahead) / time.Duration(q.Slots)
}

func (q *Queue) ask(now time.Time, e Request) []Effect {
	w := waiter{exchange: e.Exchange, caller: e.Caller, deadline: e.Deadline, since: now}
	if q.holding[e.Exchange] {
		q.urgent = append(q.urgent, w)
		return q.admit(now)
	}
	if reason := q.refusal(now, e); reason != ctoutcome.ReasonNone {
		return []Effect{Refuse{Exchange: e.Exchange, Reason: reason, RetryAfter: q.ExpectedWait()}}
	}
	q.turns.push(w)
	return q.admit(now)
}

// refusal returns why a new request is refused at once.
func (q *Queue) refusal(now time.Time, e Request) ctoutcome.Reason {
	switch {
	case q.closed:
		return ctoutcome.ReasonLeaving
	case q.MaxWaiting > 0 && q.Waiting() >= q.MaxWaiting:
		return ctoutcome.ReasonQueueFull
	case !now.Add(q.ExpectedWait()).Before(e.Deadline):
		return ctoutcome.ReasonDeadline
	}
	return ctoutcome.ReasonNone
}

// admit starts requests while slots and connections allow it.
func (q *Queue) admit(now time.Time) []Effect {
	var effects []Effect
	for len(q.running) < q.Slots {
		w, ok := q.next()
		if !ok {
			break
		}
		effects = append(effects, q.start(now, w))
	}
	return effects
}

// next takes the request whose turn it is.
func (q *Queue) next() (waiter, bool) {
	if len(q.urgent) > 0 {
		w := q.urgent[0]
		q.urgent = q.urgent[1:]
		return w, true
	}
	if q.idle == 0 && q.Connections() >= q.MaxConnections {
		return waiter{}, false
	}
	return q.turns.pop()
}

func (q *Queue) start(now time.Time, w waiter) Effect {
	admit := Admit{Exchange: w.exchange, Waited: now.Sub(w.since)}
	if !q.holding[w.exchange] {
		admit.Dial = q.idle == 0
		q.take(w.exchange, admit.Dial)
	}
	if q.running == nil {
		q.running = make(map[Exchange]time.Time)
	}
	q.running[w.exchange] = now
	return admit
}

// take gives the exchange an idle connection or one that is to be opened.
func (q *Queue) take(exchange Exchange, open bool) {
	if !open {
		q.idle--
	}
	if q.holding == nil {
		q.holding = make(map[Exchange]bool)
	}
	q.holding[exchange] = true
}

// stop frees the exchange's slot.
func (q *Queue) stop(now time.Time, exchange Exchange) {
	since, ok := q.running[exchange]
	if !ok {
		return
	}
	delete(q.running, exchange)
	taken := now.Sub(since)
	if q.service == 0 {
		q.service = taken
		return
	}
	q.service += (taken - q.service) / smoothing
}

// leave frees all that the exchange has, also while it still waits.
func (q *Queue) leave(now time.Time, e ExchangeDone) {
	q.stop(now, e.Exchange)
	q.forget(e.Exchange)
	if !q.holding[e.Exchange] {
		return
	}
	delete(q.holding, e.Exchange)
	if e.Reusable && !q.closed {
		q.idle++
	}
}

// opened gives a failed connection back.
func (q *Queue) opened(e DialDone) {
	if !e.Failed {
		return
	}
	delete(q.running, e.Exchange)
	delete(q.holding, e.Exchange)
}

// forget drops the exchange's request from the queue.
func (q *Queue) forget(exchange Exchange) {
	match := func(w waiter) bool { return w.exchange == exchange }
	q.urgent = slices.DeleteFunc(q.urgent, match)
	q.turns.removeIf(match)
}

// expire refuses the requests whose deadline has passed. Requests of open
// transactions are refused as well; their holder then ends the transaction.
func (q *Queue) expire(now time.Time) []Effect {
	var effects []Effect
	late := func(w waiter) bool {
		if now.Before(w.deadline) {
			return false
		}
		effects = append(effects, Refuse{
			Exchange:   w.exchange,
			Reason:     ctoutcome.ReasonDeadline,
			RetryAfter: q.ExpectedWait(),
		})
		return true
	}
	q.urgent = slices.DeleteFunc(q.urgent, late)
	q.turns.removeIf(late)
	return append(effects, q.admit(now)...)
}

// close refuses the requests that hold no connection.
func (q *Queue) close() []Effect {
	q.closed = true
	q.idle = 0
	var effects []Effect
	q.turns.removeIf(func(w waiter) bool {
		effects = append(effects, Refuse{Exchange: w.exchange, Reason: ctoutcome.ReasonLeaving})
		return true
	})
	return effects
}
