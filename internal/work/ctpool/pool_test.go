package ctpool_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
)

// numbered is an event with its place among the events of its key.
type numbered struct {
	key    ctpool.Key
	number int
}

// handled collects the events in the order in which they were handled.
type handled struct {
	mutex  sync.Mutex
	events map[ctpool.Key][]int
}

func (h *handled) handle(_ *ctlock.Held, e numbered) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.events[e.key] = append(h.events[e.key], e.number)
}

func TestPool(t *testing.T) {
	const keys, events = 20, 500
	h := &handled{events: make(map[ctpool.Key][]int)}
	pool := &ctpool.Pool[numbered]{Workers: 4, Handle: h.handle}
	pool.Start()
	for n := range events {
		for k := range ctpool.Key(keys) {
			pool.Put(k, numbered{key: k, number: n})
		}
	}
	pool.Stop()
	t.Run("handles every event before it stops", func(t *testing.T) {
		assert.Equal(t, len(h.events), keys)
	})
	t.Run("keeps the order of each key", func(t *testing.T) {
		for _, numbers := range h.events {
			assert.Equal(t, len(numbers), events)
			for want, got := range numbers {
				assert.Equal(t, got, want)
			}
		}
	})
	t.Run("drops events after it stopped", func(t *testing.T) {
		assert.Assert(t, !pool.Put(1, numbered{}))
	})
}
