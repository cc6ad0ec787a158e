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

// startQueue runs a queue that sends the expired keys to the returned channel.
func startQueue(t *testing.T, clock ctclock.Clock) (*ctdeadline.Queue[string], <-chan string) {
	t.Helper()
	expired := make(chan string, 1000)
	queue := &ctdeadline.Queue[string]{Clock: clock, OnExpired: func(key string) { expired <- key }}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		queue.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return queue, expired
}

// advanceUntilExpired advances the clock until a key expires, and returns the key.
func advanceUntilExpired(clock *ctclock.Manual, expired <-chan string) string {
	for {
		select {
		case key := <-expired:
			return key
		default:
			clock.Advance(time.Second)
		}
	}
}

func TestQueue(t *testing.T) {
	t.Run("calls OnExpired in the order of the deadlines", func(t *testing.T) {
		clock := &ctclock.Manual{}
		queue, expired := startQueue(t, clock)
		inOneHour := clock.Now().Add(time.Hour)
		queue.Set("late", inOneHour.Add(time.Hour))
		queue.Set("early", inOneHour)
		assert.Equal(t, advanceUntilExpired(clock, expired), "early")
		assert.Equal(t, advanceUntilExpired(clock, expired), "late")
	})
	t.Run("replaces the deadline of a key", func(t *testing.T) {
		clock := &ctclock.Manual{}
		queue, expired := startQueue(t, clock)
		inOneHour := clock.Now().Add(time.Hour)
		queue.Set("moved", inOneHour)
		queue.Set("other", inOneHour.Add(time.Second))
		queue.Set("moved", inOneHour.Add(time.Minute))
		assert.Equal(t, advanceUntilExpired(clock, expired), "other")
		assert.Equal(t, advanceUntilExpired(clock, expired), "moved")
	})
	t.Run("drops a deadline that is cleared", func(t *testing.T) {
		clock := &ctclock.Manual{}
		queue, expired := startQueue(t, clock)
		inOneHour := clock.Now().Add(time.Hour)
		queue.Set("cleared", inOneHour)
		queue.Set("kept", inOneHour.Add(time.Second))
		queue.Clear("cleared")
		assert.Equal(t, advanceUntilExpired(clock, expired), "kept")
	})
	t.Run("allows Set while the key expires", func(t *testing.T) {
		clock := &ctclock.Manual{}
		queue, expired := startQueue(t, clock)
		for range 200 {
			queue.Set("again", clock.Now().Add(time.Millisecond))
			clock.Advance(time.Millisecond)
		}
		assert.Equal(t, advanceUntilExpired(clock, expired), "again")
	})
}
