package ctcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// maxBatchSize is the highest number of requests in one batch.
const maxBatchSize = 1024

// batcher sends requests to the leader in batches. While a batch is under way, the
// requests that arrive form the next one, so that the leader's work grows with the number
// of control processes more than with that of requests. Use newBatcher to create one.
type batcher[Request, Reply any] struct {
	clock ctclock.Clock
	// timeout is how long a request waits for its reply.
	timeout time.Duration
	waiting cttable.Cell[[]*batched[Request, Reply]]
	// arrived receives a value when a request was added.
	arrived chan struct{}
	// send sends a batch to the leader and returns the replies, in the order of the
	// requests.
	send func(ctx context.Context, requests []Request) ([]Reply, error)
}

// batched is a request that waits for its reply.
type batched[Request, Reply any] struct {
	request Request
	// reply receives the reply. It is closed if there is none.
	reply chan Reply
}

func newBatcher[Request, Reply any](
	clock ctclock.Clock, timeout time.Duration, send func(ctx context.Context, requests []Request) ([]Reply, error),
) *batcher[Request, Reply] {
	return &batcher[Request, Reply]{
		clock:   clock,
		timeout: timeout,
		waiting: cttable.Cell[[]*batched[Request, Reply]]{Rank: ctlock.RankAnnouncements},
		arrived: make(chan struct{}, 1),
		send:    send,
	}
}

// call sends a request with the next batch and returns the reply. It returns false if
// there is none within the timeout, or if ctx ends first.
func (b *batcher[Request, Reply]) call(ctx context.Context, held *ctlock.Held, request Request) (Reply, bool) {
	own := &batched[Request, Reply]{request: request, reply: make(chan Reply, 1)}
	b.waiting.With(held, func(waiting *[]*batched[Request, Reply]) { *waiting = append(*waiting, own) })
	select {
	case b.arrived <- struct{}{}:
	default:
	}
	select {
	case reply, ok := <-own.reply:
		return reply, ok
	case <-ctx.Done():
	case <-b.clock.After(b.timeout):
	}
	b.waiting.With(held, func(waiting *[]*batched[Request, Reply]) {
		*waiting = slices.DeleteFunc(*waiting, func(other *batched[Request, Reply]) bool { return other == own })
	})
	var none Reply
	return none, false
}

// run sends batches until ctx ends.
func (b *batcher[Request, Reply]) run(ctx context.Context) {
	var held ctlock.Held
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.arrived:
		}
		for batch := b.next(&held); len(batch) > 0; batch = b.next(&held) {
			b.sendBatch(ctx, batch)
		}
	}
}

// next removes the requests that wait, at most maxBatchSize of them.
func (b *batcher[Request, Reply]) next(held *ctlock.Held) []*batched[Request, Reply] {
	var batch []*batched[Request, Reply]
	b.waiting.With(held, func(waiting *[]*batched[Request, Reply]) {
		count := min(len(*waiting), maxBatchSize)
		batch = slices.Clone((*waiting)[:count])
		*waiting = slices.Delete(*waiting, 0, count)
	})
	return batch
}

// sendBatch sends a batch to the leader and passes the replies on.
func (b *batcher[Request, Reply]) sendBatch(ctx context.Context, batch []*batched[Request, Reply]) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	requests := make([]Request, 0, len(batch))
	for _, own := range batch {
		requests = append(requests, own.request)
	}
	replies, err := b.send(ctx, requests)
	for i, own := range batch {
		if err == nil && i < len(replies) {
			own.reply <- replies[i]
			continue
		}
		close(own.reply)
	}
}
