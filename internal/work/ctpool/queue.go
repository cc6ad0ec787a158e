package ctpool

import "sync"

// queue is an unbounded first-in-first-out queue. Its depth is bounded by its
// writers, each of which has one event outstanding.
type queue[E any] struct {
	mutex    sync.Mutex
	notEmpty *sync.Cond
	events   []E
	spare    []E
	closed   bool
}

func newQueue[E any]() *queue[E] {
	q := &queue[E]{}
	q.notEmpty = sync.NewCond(&q.mutex)
	return q
}

// put appends an event and reports whether the queue is open.
func (q *queue[E]) put(event E) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed {
		return false
	}
	q.events = append(q.events, event)
	if len(q.events) == 1 {
		q.notEmpty.Signal()
	}
	return true
}

// dequeueAll waits for events and returns all of them. It reports false once the
// queue is closed and empty. The slice is valid until the next take.
func (q *queue[E]) dequeueAll() ([]E, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for len(q.events) == 0 {
		if q.closed {
			return nil, false
		}
		q.notEmpty.Wait()
	}
	events := q.events
	clear(q.spare)
	q.events, q.spare = q.spare[:0], events
	return events, true
}

func (q *queue[E]) close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
	q.notEmpty.Broadcast()
}
