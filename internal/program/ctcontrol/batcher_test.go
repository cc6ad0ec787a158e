package ctcontrol

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// batchLeader is a leader that answers batches one by one with the numbers in them, each
// when release receives a value. It records their sizes.
type batchLeader struct {
	mutex   sync.Mutex
	sizes   []int
	release chan error
}

func (l *batchLeader) send(ctx context.Context, numbers []int) ([]int, error) {
	l.mutex.Lock()
	l.sizes = append(l.sizes, len(numbers))
	l.mutex.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case err := <-l.release:
		return numbers, err
	}
}

func (l *batchLeader) batches() []int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]int(nil), l.sizes...)
}

// startBatcher returns a running batcher to a leader.
func startBatcher(t *testing.T, clock ctclock.Clock) (*batcher[int, int], *batchLeader) {
	t.Helper()
	leader := &batchLeader{release: make(chan error)}
	b := newBatcher(clock, relayTimeout, leader.send)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go b.run(ctx)
	return b, leader
}

// answer is the reply to a request; ok is false if there was none.
type answer struct {
	request, reply int
	ok             bool
}

// callAll sends requests with the numbers 1 to count at the same time. The channel
// receives the answers.
func callAll(b *batcher[int, int], count int) <-chan answer {
	answers := make(chan answer, count)
	for i := range count {
		go func() {
			var held ctlock.Held
			reply, ok := b.call(context.Background(), &held, i+1)
			answers <- answer{request: i + 1, reply: reply, ok: ok}
		}()
	}
	return answers
}

// assertAnswered checks that each request received its own reply.
func assertAnswered(t *testing.T, answers <-chan answer, count int) {
	t.Helper()
	for range count {
		a := <-answers
		assert.Assert(t, a.ok)
		assert.Equal(t, a.request, a.reply)
	}
}

// waitingCount returns how many requests wait for the next batch.
func (b *batcher[Request, Reply]) waitingCount() int {
	var held ctlock.Held
	return len(b.waiting.Get(&held))
}

// await waits until a condition holds.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the condition was not met")
}

// TestBatcher guards against one request to the leader for each report of a fleet of
// hundreds of proxies, or for each announcement of its members after a start.
func TestBatcher(t *testing.T) {
	const proxies = 50
	t.Run("requests that arrive during a batch form the next one", func(t *testing.T) {
		b, leader := startBatcher(t, ctclock.System{})
		first := callAll(b, 1)
		await(t, func() bool { return len(leader.batches()) == 1 })
		rest := callAll(b, proxies)
		await(t, func() bool { return b.waitingCount() == proxies })
		leader.release <- nil
		assertAnswered(t, first, 1)
		leader.release <- nil
		assertAnswered(t, rest, proxies)
		assert.DeepEqual(t, leader.batches(), []int{1, proxies})
	})
	t.Run("a request that the leader does not answer is given up", func(t *testing.T) {
		clock := &ctclock.Manual{}
		b, leader := startBatcher(t, clock)
		answers := callAll(b, 1)
		await(t, func() bool { return len(leader.batches()) == 1 })
		await(t, func() bool { clock.Advance(relayTimeout); return len(answers) == 1 })
		assert.Assert(t, !(<-answers).ok)
	})
	t.Run("a request that was given up is not sent later", func(t *testing.T) {
		clock := &ctclock.Manual{}
		b, leader := startBatcher(t, clock)
		callAll(b, 1)
		await(t, func() bool { return len(leader.batches()) == 1 })
		late := callAll(b, 1)
		await(t, func() bool { return b.waitingCount() == 1 })
		await(t, func() bool { clock.Advance(relayTimeout); return len(late) == 1 })
		assert.Equal(t, b.waitingCount(), 0)
	})
	t.Run("requests of a batch that fails have no reply", func(t *testing.T) {
		b, leader := startBatcher(t, ctclock.System{})
		answers := callAll(b, 1)
		leader.release <- errors.New("the leader's process has ended")
		assert.Assert(t, !(<-answers).ok)
	})
}
