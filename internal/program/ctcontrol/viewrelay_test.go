package ctcontrol

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// watcherCount returns how many watches wait at the relay.
func (r *viewRelay) watcherCount() int {
	var held ctlock.Held
	count := 0
	r.state.With(&held, func(s *relayedView) { count = len(s.watchers.waiting) })
	return count
}

func applyView(t *testing.T, r *viewRelay, delta *ctview.Delta) {
	t.Helper()
	var held ctlock.Held
	assert.NilError(t, r.apply(&held, &ctframe.ReportReply{Reply: ctview.Reply{Delta: delta}}))
}

func TestViewRelay(t *testing.T) {
	watch := func(ctx context.Context, r *viewRelay, version ctview.Version) <-chan *ctview.Delta {
		result := make(chan *ctview.Delta, 1)
		go func() {
			var held ctlock.Held
			result <- r.watch(ctx, &held, version, 0)
		}()
		return result
	}
	t.Run("a newer view of the leader ends all watches", func(t *testing.T) {
		r := newViewRelay()
		applyView(t, r, &ctview.Delta{To: 1})
		first, second := watch(context.Background(), r, 1), watch(context.Background(), r, 1)
		await(t, func() bool { return r.watcherCount() == 2 })
		applyView(t, r, &ctview.Delta{From: 1, To: 2})
		assert.Equal(t, (<-first).To, ctview.Version(2))
		assert.Equal(t, (<-second).To, ctview.Version(2))
	})
	t.Run("a watch that ends leaves nothing behind", func(t *testing.T) {
		r := newViewRelay()
		ctx, cancel := context.WithCancel(context.Background())
		result := watch(ctx, r, 0)
		await(t, func() bool { return r.watcherCount() == 1 })
		cancel()
		assert.Assert(t, <-result == nil)
		assert.Equal(t, r.watcherCount(), 0)
	})
	t.Run("an outdated watch is answered at once", func(t *testing.T) {
		r := newViewRelay()
		applyView(t, r, &ctview.Delta{To: 7})
		assert.Equal(t, (<-watch(context.Background(), r, 3)).To, ctview.Version(7))
	})
}
