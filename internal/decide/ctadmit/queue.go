package ctadmit

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// serviceTimeSmoothing is the divisor for new samples in the moving average of the
// service time: the newest sample counts for one eighth.
const serviceTimeSmoothing = 8

// Queue is the request queue of one member at its holder. Set Slots, MaxConnections
// and MaxWaiting before the first Step; Resize changes the first two later. It is
// not safe for concurrent use.
type Queue struct {
	// Slots is how many statements the member runs at once.
	Slots int
	// MaxConnections is how many connections may be open at once.
	MaxConnections int
	// MaxWaiting is how many requests may wait; zero for no limit. Requests of
	// open transactions count, but are never refused because of it.
	MaxWaiting int

	// running has the start time of each running request.
	running map[Exchange]time.Time
	// connected has the exchanges that own a connection or are opening one.
	connected map[Exchange]bool
	idle      int
	draining  bool
	// serviceTime is the moving average of how long a request occupies a slot.
	serviceTime time.Duration
	// priority has the waiting requests of exchanges in connected, and regular
	// those of other exchanges.
	priority []waiter
	regular  callerQueues
}

// waiter is a request that waits for a slot.
type waiter struct {
	exchange   Exchange
	caller     ctid.Caller
	deadline   time.Time
	enqueuedAt time.Time
}

// Step handles one event and returns the effects to perform, in order.
func (q *Queue) Step(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Request:
		return q.handleRequest(now, e)
	case RequestDone:
		q.freeSlot(now, e.Exchange)
	case ExchangeDone:
		q.endExchange(now, e)
	case DialDone:
		q.handleDialDone(e)
	case ConnectionsLost:
		q.idle = max(0, q.idle-e.Count)
	case Resize:
		q.Slots, q.MaxConnections = e.Slots, e.MaxConnections
	case Drain:
		return q.close()
	case Resume:
		q.draining = false
	case Tick:
		return q.refuseExpired(now)
	}
	return q.admit(now)
}

// Connections returns the number of connections that are open or being opened.
func (q *Queue) Connections() int {
	return len(q.connected) + q.idle
}

// Running returns the number of running requests, which is the number of used slots.
func (q *Queue) Running() int {
	return len(q.running)
}

// Waiting returns the number of requests that wait to be admitted.
func (q *Queue) Waiting() int {
	return len(q.priority) + q.regular.len()
}

// ExpectedWait returns how long a request that arrives now is expected to wait
// for a slot. It is zero if a slot is free, if there are no slots, or before the
// first request ended.
func (q *Queue) ExpectedWait() time.Duration {
	if q.Slots <= 0 || len(q.running)+q.Waiting() < q.Slots {
		return 0
	}
	ahead := len(q.running) + q.Waiting() - q.Slots + 1
	return q.serviceTime * time.Duration(ahead) / time.Duration(q.Slots)
}

func (q *Queue) handleRequest(now time.Time, e Request) []Effect {
	w := waiter{exchange: e.Exchange, caller: e.Caller, deadline: e.Deadline, enqueuedAt: now}
	if q.connected[e.Exchange] {
		q.priority = append(q.priority, w)
		return q.admit(now)
	}
	if reason := q.refusalReason(now, e); reason != ctoutcome.ReasonNone {
		return []Effect{Refuse{Exchange: e.Exchange, Reason: reason, RetryAfter: q.ExpectedWait()}}
	}
	q.regular.push(w)
	return q.admit(now)
}

// refusalReason returns why a new request must be refused on arrival, or
// ReasonNone.
func (q *Queue) refusalReason(now time.Time, e Request) ctoutcome.Reason {
	switch {
	case q.draining:
		return ctoutcome.ReasonLeaving
	case q.MaxWaiting > 0 && q.Waiting() >= q.MaxWaiting:
		return ctoutcome.ReasonQueueFull
	case !now.Add(q.ExpectedWait()).Before(e.Deadline):
		return ctoutcome.ReasonDeadline
	}
	return ctoutcome.ReasonNone
}

// admit starts waiting requests while slots and connections are free.
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

// next removes the next request to admit from its queue. It returns false if no
// request waits, or if the next one needs a connection and none is free.
func (q *Queue) next() (waiter, bool) {
	if len(q.priority) > 0 {
		w := q.priority[0]
		q.priority = q.priority[1:]
		return w, true
	}
	if q.idle == 0 && q.Connections() >= q.MaxConnections {
		return waiter{}, false
	}
	return q.regular.pop()
}

func (q *Queue) start(now time.Time, w waiter) Effect {
	admit := Admit{Exchange: w.exchange, Waited: now.Sub(w.enqueuedAt)}
	if !q.connected[w.exchange] {
		admit.Dial = q.idle == 0
		q.assignConnection(w.exchange, admit.Dial)
	}
	if q.running == nil {
		q.running = make(map[Exchange]time.Time)
	}
	q.running[w.exchange] = now
	return admit
}

// assignConnection assigns the exchange an idle connection, or one to be opened if
// dial is set.
func (q *Queue) assignConnection(exchange Exchange, dial bool) {
	if !dial {
		q.idle--
	}
	if q.connected == nil {
		q.connected = make(map[Exchange]bool)
	}
	q.connected[exchange] = true
}

// freeSlot frees the slot of the exchange's request, if it runs, and adds its
// duration to the average service time.
func (q *Queue) freeSlot(now time.Time, exchange Exchange) {
	startedAt, ok := q.running[exchange]
	if !ok {
		return
	}
	delete(q.running, exchange)
	duration := now.Sub(startedAt)
	if q.serviceTime == 0 {
		q.serviceTime = duration
		return
	}
	q.serviceTime += (duration - q.serviceTime) / serviceTimeSmoothing
}

// endExchange releases the exchange's slot and connection, and removes its request
// if it still waits.
func (q *Queue) endExchange(now time.Time, e ExchangeDone) {
	q.freeSlot(now, e.Exchange)
	q.removeWaiting(e.Exchange)
	if !q.connected[e.Exchange] {
		return
	}
	delete(q.connected, e.Exchange)
	if e.Reusable && !q.draining {
		q.idle++
	}
}

// handleDialDone releases the exchange's slot and connection if the connection
// could not be opened. The service time gets no sample, because nothing ran.
func (q *Queue) handleDialDone(e DialDone) {
	if !e.Failed {
		return
	}
	delete(q.running, e.Exchange)
	delete(q.connected, e.Exchange)
}

// removeWaiting removes the exchange's waiting request, if any.
func (q *Queue) removeWaiting(exchange Exchange) {
	match := func(w waiter) bool { return w.exchange == exchange }
	q.priority = slices.DeleteFunc(q.priority, match)
	q.regular.removeIf(match)
}

// refuseExpired refuses the waiting requests whose deadline has passed. Requests of
// open transactions are refused as well; the holder then ends the transaction.
func (q *Queue) refuseExpired(now time.Time) []Effect {
	var effects []Effect
	expired := func(w waiter) bool {
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
	q.priority = slices.DeleteFunc(q.priority, expired)
	q.regular.removeIf(expired)
	return append(effects, q.admit(now)...)
}

// close handles Drain. It refuses the waiting requests of new exchanges and stops
// counting the idle connections, which the holder closes.
func (q *Queue) close() []Effect {
	q.draining = true
	q.idle = 0
	var effects []Effect
	q.regular.removeIf(func(w waiter) bool {
		effects = append(effects, Refuse{Exchange: w.exchange, Reason: ctoutcome.ReasonLeaving})
		return true
	})
	return effects
}
