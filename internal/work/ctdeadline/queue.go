package ctdeadline

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// Queue calls Due for each key whose deadline has passed. Its fields are set
// before first use.
type Queue[K comparable] struct {
	Clock     ctclock.Clock
	OnExpired func(key K)

	once   sync.Once
	mutex  sync.Mutex
	order  entries[K]
	byKey  map[K]*entry[K]
	sooner chan struct{}
}

// Set sets the deadline of key.
func (q *Queue[K]) Set(key K, at time.Time) {
	q.once.Do(q.setUp)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if e, ok := q.byKey[key]; ok {
		e.at = at
		heap.Fix(&q.order, e.index)
	} else {
		e = &entry[K]{key: key, at: at}
		q.byKey[key] = e
		heap.Push(&q.order, e)
	}
	if q.order[0].key == key {
		q.wake()
	}
}

// Clear removes the deadline of key.
func (q *Queue[K]) Clear(key K) {
	q.once.Do(q.setUp)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if e, ok := q.byKey[key]; ok {
		heap.Remove(&q.order, e.index)
		delete(q.byKey, key)
	}
}

// Run calls Due as deadlines pass, until ctx ends.
func (q *Queue[K]) Run(ctx context.Context) {
	q.once.Do(q.setUp)
	for {
		next, ok := q.expire()
		var alarm <-chan time.Time
		if ok {
			alarm = q.Clock.After(next.Sub(q.Clock.Now()))
		}
		select {
		case <-ctx.Done():
			return
		case <-q.sooner:
		case <-alarm:
		}
	}
}

// expire calls Due for the keys whose time has come and returns the next
// deadline.
func (q *Queue[K]) expire() (time.Time, bool) {
	now := q.Clock.Now()
	for {
		key, at, ok := q.first()
		if !ok || at.After(now) {
			return at, ok
		}
		if q.take(key, now) {
			q.OnExpired(key)
		}
	}
}

// first returns the key with the first deadline.
func (q *Queue[K]) first() (key K, at time.Time, ok bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.order) == 0 {
		return key, at, false
	}
	return q.order[0].key, q.order[0].at, true
}

// take removes the key's deadline if it has passed, and reports whether it had.
func (q *Queue[K]) take(key K, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e, ok := q.byKey[key]
	if !ok || e.at.After(now) {
		return false
	}
	heap.Remove(&q.order, e.index)
	delete(q.byKey, key)
	return true
}

func (q *Queue[K]) setUp() {
	q.byKey = make(map[K]*entry[K])
	q.sooner = make(chan struct{}, 1)
}

func (q *Queue[K]) wake() {
	select {
	case q.sooner <- struct{}{}:
	default:
	}
}
