package ctdeadline_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctdeadline"
)

// start runs a queue that passes due keys to the channel.
func start(t *testing.T, clock ctclock.Clock) (*ctdeadline.Queue[string], <-chan string) {
	t.Helper()
	due := make(chan string, 1000)
	queue := &ctdeadline.Queue[string]{Clock: clock, OnExpired: func(key string) { due <- key }}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		queue.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return queue, due
}

// advance moves the clock until a key is due.
func advance(clock *ctclock.Manual, due <-chan string) string {
	for {
		select {
		case key := <-due:
			return key
		default:
			clock.Advance(time.Second)
		}
	}
}

func TestQueue(t *testing.T) {
	t.Run("calls Due in the order of the deadlines", func(t *testing.T) {
		clock := &ctclock.Manual{}
		queue, due := start(t, clock)
		far := clock.Now().Add(time.Hour)
		queue.Set("late", far.Add(time.Hour))
		queue.Set("early", far)
		assert.Equal(t, advance(clock, due), "early")
		assert.Equal(t, advance(clock, due), "late")
	})
	t.Run("replaces the deadline of a key", func(t *testing.T) {
		clock := &ctclock.Manual{}
		queue, due := start(t, clock)
		far := clock.Now().Add(time.Hour)
		queue.Set("moved", far)
		queue.Set("other", far.Add(time.Second))
		queue.Set("moved", far.Add(time.Minute))
		assert.Equal(t, advance(clock, due), "other")
		assert.Equal(t, advance(clock, due), "moved")
	})
	t.Run("drops a deadline that is cleared", func(t *testing.T) {
		clock := &ctclock.Manual{}
		queue, due := start(t, clock)
		far := clock.Now().Add(time.Hour)
		queue.Set("cleared", far)
		queue.Set("kept", far.Add(time.Second))
		queue.Clear("cleared")
		assert.Equal(t, advance(clock, due), "kept")
	})
	t.Run("may be set while it expires", func(t *testing.T) {
		clock := &ctclock.Manual{}
		queue, due := start(t, clock)
		for range 200 {
			queue.Set("again", clock.Now().Add(time.Millisecond))
			clock.Advance(time.Millisecond)
		}
		assert.Equal(t, advance(clock, due), "again")
	})
}
