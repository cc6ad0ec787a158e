package ctproof

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// callerPool runs concurrent callers until they are stopped. A pool is started
// once and stopped once.
type callerPool struct {
	stop chan struct{}
	done sync.WaitGroup
}

// start calls runCaller in count goroutines, each with its own number from 0.
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

// stopped reports whether the callers must return.
func (c *callerPool) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// stopAndWait stops the callers and waits until their current requests end.
func (c *callerPool) stopAndWait() {
	close(c.stop)
	c.done.Wait()
}

// awaitCount waits until count has grown by more. The text what describes the
// condition in the error of a timeout.
func awaitCount(t *testing.T, what string, count func() int, more int) {
	t.Helper()
	target := count() + more
	assert.NilError(t, ctfleet.WaitUntil(what, func() bool { return count() >= target }))
}
