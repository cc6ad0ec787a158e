package ctpool

import (
	"runtime"
	"sync"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Key identifies a sequence of events that are handled in order.
type Key uint64

// KeyOf returns the key of a name: its 64-bit FNV-1a hash. It is the same in every
// process.
func KeyOf[T ~string](name T) Key {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return Key(hash)
}

// Pool handles events on its workers. Set its exported fields before Start.
type Pool[E any] struct {
	// Workers is the number of workers. If it is not positive, there is one worker
	// per processor that Go may use (GOMAXPROCS).
	Workers int
	// Handle handles one event. held records the locks of the worker's goroutine;
	// Handle must release all of them before it returns.
	Handle func(held *ctlock.Held, event E)

	queues  []*queue[E]
	running sync.WaitGroup
}

// Start starts the workers. It is called once, before Put.
func (p *Pool[E]) Start() {
	count := p.Workers
	if count <= 0 {
		count = runtime.GOMAXPROCS(0)
	}
	p.queues = make([]*queue[E], count)
	for i := range p.queues {
		q := newQueue[E]()
		p.queues[i] = q
		p.running.Add(1)
		go p.runWorker(q)
	}
}

// Put queues an event for the worker of its key and returns without waiting for
// it. After Stop it drops the event and returns false.
func (p *Pool[E]) Put(key Key, event E) bool {
	return p.queues[uint64(key)%uint64(len(p.queues))].put(event)
}

// Stop waits until the workers have handled all queued events and have ended.
func (p *Pool[E]) Stop() {
	for _, q := range p.queues {
		q.close()
	}
	p.running.Wait()
}

// runWorker handles the events of one queue until it is closed and empty.
func (p *Pool[E]) runWorker(q *queue[E]) {
	defer p.running.Done()
	var held ctlock.Held
	for {
		events, ok := q.dequeueAll()
		if !ok {
			return
		}
		for _, e := range events {
			p.Handle(&held, e)
		}
	}
}
