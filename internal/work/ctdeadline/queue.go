package ctdeadline

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// Queue calls OnExpired for each key whose deadline has passed. Set its exported
// fields before first use. It is safe for concurrent use.
type Queue[K comparable] struct {
	Clock ctclock.Clock
	// OnExpired is called by Run, without a lock: it may call Set and Clear. The
	// key's deadline has been removed by then.
	OnExpired func(key K)

	once       sync.Once
	mutex      sync.Mutex
	byDeadline entryHeap[K]
	byKey      map[K]*entry[K]
	// firstChanged wakes Run when Set has changed the first deadline.
	firstChanged chan struct{}
}

// Set sets or replaces the deadline of key.
func (q *Queue[K]) Set(key K, deadline time.Time) {
	q.once.Do(q.setUp)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if e, ok := q.byKey[key]; ok {
		e.deadline = deadline
		heap.Fix(&q.byDeadline, e.index)
	} else {
		e = &entry[K]{key: key, deadline: deadline}
		q.byKey[key] = e
		heap.Push(&q.byDeadline, e)
	}
	if q.byDeadline[0].key == key {
		q.wake()
	}
}

// Clear removes the deadline of key, if it has one. A call of OnExpired for the key
// may still be in progress.
func (q *Queue[K]) Clear(key K) {
	q.once.Do(q.setUp)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if e, ok := q.byKey[key]; ok {
		heap.Remove(&q.byDeadline, e.index)
		delete(q.byKey, key)
	}
}

// Run calls OnExpired as deadlines pass, until ctx ends. It is called once.
func (q *Queue[K]) Run(ctx context.Context) {
	q.once.Do(q.setUp)
	for {
		next, ok := q.expire()
		var timer <-chan time.Time
		if ok {
			timer = q.Clock.After(next.Sub(q.Clock.Now()))
		}
		select {
		case <-ctx.Done():
			return
		case <-q.firstChanged:
		case <-timer:
		}
	}
}

// expire calls OnExpired for the keys whose deadline has passed. It returns the next
// deadline, and false if there is none.
func (q *Queue[K]) expire() (time.Time, bool) {
	now := q.Clock.Now()
	for {
		key, deadline, ok := q.first()
		if !ok || deadline.After(now) {
			return deadline, ok
		}
		if q.removeIfExpired(key, now) {
			q.OnExpired(key)
		}
	}
}

// first returns the key with the first deadline, and false if the queue is empty.
func (q *Queue[K]) first() (key K, deadline time.Time, ok bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.byDeadline) == 0 {
		return key, deadline, false
	}
	return q.byDeadline[0].key, q.byDeadline[0].deadline, true
}

// removeIfExpired removes the key's deadline if it has passed, and reports whether it
// did so. The deadline may have been cleared or replaced since first returned it.
func (q *Queue[K]) removeIfExpired(key K, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e, ok := q.byKey[key]
	if !ok || e.deadline.After(now) {
		return false
	}
	heap.Remove(&q.byDeadline, e.index)
	delete(q.byKey, key)
	return true
}

func (q *Queue[K]) setUp() {
	q.byKey = make(map[K]*entry[K])
	q.firstChanged = make(chan struct{}, 1)
}

// wake wakes Run. It never blocks: one pending signal is enough.
func (q *Queue[K]) wake() {
	select {
	case q.firstChanged <- struct{}{}:
	default:
	}
}
