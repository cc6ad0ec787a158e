package ctpool

import "sync"

// queue is a first-in-first-out queue with one reader. It has no limit of its own:
// its length is limited by its writers, which have one event outstanding each.
type queue[E any] struct {
	mutex sync.Mutex
	// notEmpty is signalled when the first event arrives or the queue is closed.
	notEmpty *sync.Cond
	events   []E
	// spare is the buffer that dequeueAll puts in place of the returned events.
	spare  []E
	closed bool
}

func newQueue[E any]() *queue[E] {
	q := &queue[E]{}
	q.notEmpty = sync.NewCond(&q.mutex)
	return q
}

// put appends an event. It drops the event and returns false if the queue is closed.
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

// dequeueAll waits until the queue has events, then removes and returns all of
// them. It returns false once the queue is closed and empty. The returned slice is
// valid until the next call.
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

// close refuses further events. Those in the queue can still be dequeued.
func (q *queue[E]) close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
	q.notEmpty.Broadcast()
}
