package ctintake

import "time"

const (
	// firstHandlingTime is the assumed handling time of the first frames.
	firstHandlingTime = time.Millisecond
	// handlingWeight is the inverse weight of the latest handling time in the mean.
	handlingWeight = 16
	// startsPerOldest is how many starts there are for each one that takes the frame that has
	// waited longest, whatever its priority.
	startsPerOldest = 8
	// minRetry and maxRetry bound the time after which a sender is to try again.
	minRetry = 50 * time.Millisecond
	maxRetry = 2 * time.Second
	// maxRenewalRetry replaces maxRetry for a proxy whose authority would expire meanwhile.
	maxRenewalRetry = 300 * time.Millisecond
)

// Queue decides on the frames of a control process. Slots must be set. It is not safe for
// concurrent use.
type Queue struct {
	// Slots is how many frames are handled at once.
	Slots int
	// MaxWait is how long a first report or a view may be expected to wait before it is
	// started. Other work may wait as long as its sender does.
	MaxWait time.Duration
	// HandlingTime is the assumed handling time of the first frames; 0 means 1 ms.
	HandlingTime time.Duration

	waiting [rankCount][]waiter
	busy    int
	starts  int
	// mean is the moving average of the handling times, or 0 before the first.
	mean time.Duration
	// reserved is the latest time at which a rejected sender was told to try again.
	reserved time.Time
}

// waiter is a frame that waits for a slot.
type waiter struct {
	ticket    Ticket
	arrivedAt time.Time
	// deadline is when the sender gives up; zero for never.
	deadline time.Time
}

// expired reports whether the sender has given up.
func (w *waiter) expired(now time.Time) bool {
	return !w.deadline.IsZero() && !now.Before(w.deadline)
}

// Step applies an event and returns the decisions that follow.
func (q *Queue) Step(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Arrival:
		return q.arrive(now, e)
	case Completion:
		q.busy = max(0, q.busy-1)
		q.mean = q.handlingTime() + (e.Took-q.handlingTime())/handlingWeight
		return q.startWaiting(now)
	}
	return nil
}

// Waiting returns how many frames wait for a slot.
func (q *Queue) Waiting() int {
	count := 0
	for _, waiters := range q.waiting {
		count += len(waiters)
	}
	return count
}

// handlingTime returns the mean handling time.
func (q *Queue) handlingTime() time.Duration {
	switch {
	case q.mean > 0:
		return q.mean
	case q.HandlingTime > 0:
		return q.HandlingTime
	}
	return firstHandlingTime
}

// arrive decides on a new frame.
func (q *Queue) arrive(now time.Time, a Arrival) []Effect {
	if _, ok := a.Work.(Consensus); ok {
		return []Effect{Start{Ticket: a.Ticket}}
	}
	own := waiter{ticket: a.Ticket, arrivedAt: now.Add(-a.Waited)}
	if a.Timeout > 0 {
		own.deadline = own.arrivedAt.Add(a.Timeout)
	}
	if own.expired(now) {
		return []Effect{Drop{Ticket: a.Ticket}}
	}
	priority := rankOf(a.Work)
	if q.busy >= q.Slots && q.tooLate(now, priority, own) {
		return []Effect{Reject{Ticket: a.Ticket, After: q.reserve(now, priority)}}
	}
	q.waiting[priority] = append(q.waiting[priority], own)
	return q.startWaiting(now)
}

// tooLate reports whether a frame can't be expected to start soon enough.
func (q *Queue) tooLate(now time.Time, priority rank, own waiter) bool {
	if priority == rankCall {
		return false
	}
	ahead := 1
	for r := range priority + 1 {
		ahead += len(q.waiting[r])
	}
	wait := time.Duration(ahead) * q.handlingTime() / time.Duration(q.Slots)
	if priority > rankRenewal && wait > q.MaxWait {
		return true
	}
	return own.expired(now.Add(wait))
}

// reserve returns when a rejected sender is to try again: each a handling time after the one
// before, so that they don't return together.
func (q *Queue) reserve(now time.Time, priority rank) time.Duration {
	if earliest := now.Add(minRetry); q.reserved.Before(earliest) {
		q.reserved = earliest
	}
	q.reserved = q.reserved.Add(q.handlingTime() / time.Duration(q.Slots))
	if latest := now.Add(maxRetry); q.reserved.After(latest) {
		q.reserved = latest
	}
	if priority == rankRenewal {
		return min(q.reserved.Sub(now), maxRenewalRetry)
	}
	return q.reserved.Sub(now)
}

// startWaiting starts frames while there are slots, and drops those whose senders have given
// up.
func (q *Queue) startWaiting(now time.Time) []Effect {
	var effects []Effect
	for q.busy < q.Slots {
		next, ok := q.next()
		if !ok {
			break
		}
		if next.expired(now) {
			effects = append(effects, Drop{Ticket: next.ticket})
			continue
		}
		q.busy++
		q.starts++
		effects = append(effects, Start{Ticket: next.ticket})
	}
	return effects
}

// next removes and returns the frame to start next, or false if none waits.
func (q *Queue) next() (waiter, bool) {
	chosen := rank(-1)
	for r := range rankCount {
		if len(q.waiting[r]) == 0 {
			continue
		}
		oldest := q.starts%startsPerOldest == startsPerOldest-1 && chosen >= 0 &&
			q.waiting[r][0].arrivedAt.Before(q.waiting[chosen][0].arrivedAt)
		if chosen < 0 || oldest {
			chosen = r
		}
	}
	if chosen < 0 {
		return waiter{}, false
	}
	first := q.waiting[chosen][0]
	q.waiting[chosen] = q.waiting[chosen][1:]
	return first, true
}
