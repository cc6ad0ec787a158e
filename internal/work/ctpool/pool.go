package ctpool

import (
	"runtime"
	"sync"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Key tells which events must keep their order.
type Key uint64

// KeyOf returns the key of a name.
func KeyOf[T ~string](name T) Key {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return Key(hash)
}

// Pool runs events on workers. Its fields are set before Start.
type Pool[E any] struct {
	// Workers is the number of workers; the number of processors where it is 0.
	Workers int
	// Handle handles one event. The worker's locks are passed along and must
	// be released when Handle returns.
	Handle func(held *ctlock.Held, event E)

	queues  []*queue[E]
	running sync.WaitGroup
}

// Start starts the workers.
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

// Put hands an event to the worker of its key. It never blocks. It reports
// false after Stop, when the event is dropped.
func (p *Pool[E]) Put(key Key, event E) bool {
	return p.queues[uint64(key)%uint64(len(p.queues))].put(event)
}

// Stop lets the workers handle the events that were put before, and waits for
// them to end.
func (p *Pool[E]) Stop() {
	for _, q := range p.queues {
		q.close()
	}
	p.running.Wait()
}

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
