package ctpool_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
)

// numberedEvent is an event with its position among the events of its key.
type numberedEvent struct {
	key    ctpool.Key
	number int
}

// recorder records for each key the numbers of its events, in the order in which
// they were handled.
type recorder struct {
	mutex  sync.Mutex
	events map[ctpool.Key][]int
}

func (r *recorder) record(_ *ctlock.Held, e numberedEvent) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events[e.key] = append(r.events[e.key], e.number)
}

func TestPool(t *testing.T) {
	const keys, events = 20, 500
	r := &recorder{events: make(map[ctpool.Key][]int)}
	pool := &ctpool.Pool[numberedEvent]{Workers: 4, Handle: r.record}
	pool.Start()
	for n := range events {
		for k := range ctpool.Key(keys) {
			pool.Put(k, numberedEvent{key: k, number: n})
		}
	}
	pool.Stop()
	t.Run("handles all queued events before it stops", func(t *testing.T) {
		assert.Equal(t, len(r.events), keys)
	})
	t.Run("handles the events of each key in order", func(t *testing.T) {
		for _, numbers := range r.events {
			assert.Equal(t, len(numbers), events)
			for want, got := range numbers {
				assert.Equal(t, got, want)
			}
		}
	})
	t.Run("drops events after Stop", func(t *testing.T) {
		assert.Assert(t, !pool.Put(1, numberedEvent{}))
	})
}
