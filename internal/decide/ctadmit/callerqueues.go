package ctadmit

import (
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// callerQueues stores the waiting requests of new exchanges: one first-in-first-out
// queue per caller, served round robin.
type callerQueues struct {
	// callers has the callers with waiting requests, next one first.
	callers []ctid.Caller
	waiting map[ctid.Caller][]waiter
	length  int
}

func (q *callerQueues) len() int {
	return q.length
}

func (q *callerQueues) push(w waiter) {
	if q.waiting == nil {
		q.waiting = make(map[ctid.Caller][]waiter)
	}
	waiting, ok := q.waiting[w.caller]
	if !ok {
		q.callers = append(q.callers, w.caller)
	}
	q.waiting[w.caller] = append(waiting, w)
	q.length++
}

// pop removes the first request of the next caller, and moves the caller to the end
// of the rotation.
func (q *callerQueues) pop() (waiter, bool) {
	if q.length == 0 {
		return waiter{}, false
	}
	caller := q.callers[0]
	q.callers = q.callers[1:]
	waiting := q.waiting[caller]
	if len(waiting) > 1 {
		q.waiting[caller] = waiting[1:]
		q.callers = append(q.callers, caller)
	} else {
		delete(q.waiting, caller)
	}
	q.length--
	return waiting[0], true
}

// removeIf removes the requests that match. It calls match once for each request.
func (q *callerQueues) removeIf(match func(w waiter) bool) {
	for _, caller := range slices.Clone(q.callers) {
		waiting := q.waiting[caller]
		remaining := slices.DeleteFunc(slices.Clone(waiting), match)
		q.length -= len(waiting) - len(remaining)
		if len(remaining) > 0 {
			q.waiting[caller] = remaining
			continue
		}
		delete(q.waiting, caller)
		q.callers = slices.DeleteFunc(q.callers, func(c ctid.Caller) bool { return c == caller })
	}
}
