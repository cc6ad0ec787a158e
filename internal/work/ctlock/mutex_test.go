package ctlock_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// panics reports whether an action panics.
func panics(action func()) (panicked bool) {
	defer func() { panicked = recover() != nil }()
	action()
	return false
}

func TestMutex(t *testing.T) {
	low := ctlock.Mutex{Rank: ctlock.RankView}
	high := ctlock.Mutex{Rank: ctlock.RankMembers}
	t.Run("can be locked in ascending order of ranks", func(t *testing.T) {
		var held ctlock.Held
		assert.Assert(t, !panics(func() {
			low.Lock(&held)
			high.Lock(&held)
			high.Unlock(&held)
			low.Unlock(&held)
		}))
	})
	t.Run("panics when a higher rank is held", func(t *testing.T) {
		var held ctlock.Held
		high.Lock(&held)
		defer high.Unlock(&held)
		assert.Assert(t, panics(func() { low.Lock(&held) }))
	})
	t.Run("panics when it is locked twice", func(t *testing.T) {
		var held ctlock.Held
		low.Lock(&held)
		defer low.Unlock(&held)
		assert.Assert(t, panics(func() { low.Lock(&held) }))
	})
	t.Run("panics on unlock when another one was locked last", func(t *testing.T) {
		var held ctlock.Held
		low.Lock(&held)
		high.Lock(&held)
		assert.Assert(t, panics(func() { low.Unlock(&held) }))
		high.Unlock(&held)
		low.Unlock(&held)
	})
	t.Run("can't be locked without a rank", func(t *testing.T) {
		var unranked ctlock.Mutex
		var held ctlock.Held
		assert.Assert(t, panics(func() { unranked.Lock(&held) }))
	})
}
