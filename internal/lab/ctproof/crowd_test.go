package ctproof

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// crowd are callers that call at the same time until they are stopped.
type crowd struct {
	stop chan struct{}
	done sync.WaitGroup
}

// start starts the stated number of callers.
func (c *crowd) start(count int, call func(number int)) {
	c.stop = make(chan struct{})
	for i := range count {
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			call(i)
		}()
	}
}

// stopped reports whether the callers are to end.
func (c *crowd) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// end stops the callers after their requests in hand.
func (c *crowd) end() {
	close(c.stop)
	c.done.Wait()
}

// awaitCount waits until a count has grown by the stated number.
func awaitCount(t *testing.T, what string, count func() int, more int) {
	t.Helper()
	target := count() + more
	assert.NilError(t, ctfleet.WaitUntil(what, func() bool { return count() >= target }))
}
