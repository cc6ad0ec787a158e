package ctproof

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// callerPool are callers that call at the same time until they are stopped.
type callerPool struct {
	stop chan struct{}
	done sync.WaitGroup
}

// start starts the stated number of callers.
func (c *callerPool) start(count int, runCaller func(number int)) {
	c.stop = make(chan struct{})
	for i := range count {
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			runCaller(i)
		}()
	}
}

// stopped reports whether the callers are to end.
func (c *callerPool) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// stopAndWait stops the callers after their requests in hand.
func (c *callerPool) stopAndWait() {
	close(c.stop)
	c.done.Wait()
}

// awaitCount waits until a count has grown by the stated number.
func awaitCount(t *testing.T, what string, count func() int, more int) {
	t.Helper()
	target := count() + more
	assert.NilError(t, ctfleet.WaitUntil(what, func() bool { return count() >= target }))
}
