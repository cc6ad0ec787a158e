package ctsoak

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newHoldFleet() *Fleet {
	return &Fleet{controls: []*host{{Host: Host{KindControl, 0}}, {Host: Host{KindControl, 1}}}}
}

// assertHeld checks whether a request of a control process is held until release is called.
func assertHeld(t *testing.T, f *Fleet, control string, held bool, release func()) {
	t.Helper()
	handled := make(chan struct{})
	go func() {
		f.requests.awaitRelease(control)
		close(handled)
	}()
	if held {
		select {
		case <-handled:
			t.Fatal("the request was handled during the hold")
		case <-time.After(50 * time.Millisecond):
		}
	}
	release()
	<-handled
}

func TestHold(t *testing.T) {
	t.Run("holds the requests of one process", func(t *testing.T) {
		f := newHoldFleet()
		f.requests.hold("control-0")
		assertHeld(t, f, "control-1", false, func() {})
		assertHeld(t, f, "control-0", true, func() { f.requests.release("control-0") })
	})
	t.Run("ends with the last of two holds", func(t *testing.T) {
		f := newHoldFleet()
		f.requests.hold("control-0")
		f.requests.hold("control-0")
		f.requests.release("control-0")
		assertHeld(t, f, "control-0", true, func() { f.requests.release("control-0") })
	})
	t.Run("a trap holds the first request of any process", func(t *testing.T) {
		f := newHoldFleet()
		trap := f.requests.setTrap()
		assert.Assert(t, f.requests.setTrap() == nil)
		assertHeld(t, f, "control-1", true, func() {
			sender, ok := f.requests.awaitSender(context.Background(), trap, time.Minute)
			assert.Assert(t, ok)
			assert.Equal(t, sender, "control-1")
			assertHeld(t, f, "control-0", false, func() {})
			f.requests.release(sender)
		})
	})
	t.Run("a trap without a request ends", func(t *testing.T) {
		f := newHoldFleet()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, ok := f.requests.awaitSender(ctx, f.requests.setTrap(), time.Minute)
		assert.Assert(t, !ok)
		assertHeld(t, f, "control-0", false, func() {})
	})
	t.Run("a held process counts as disturbed for a while", func(t *testing.T) {
		f := newHoldFleet()
		since := time.Now()
		f.requests.hold("control-0")
		assert.Assert(t, !f.requestsInTouch("control-0", time.Now()))
		f.requests.release("control-0")
		assert.Assert(t, !f.requestsInTouch("control-0", since))
		assert.Assert(t, f.requestsInTouch("control-0", time.Now()))
		assert.Assert(t, f.requestsInTouch("control-1", since))
	})
}
