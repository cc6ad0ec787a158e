package ctsoak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPlan(t *testing.T) {
	t.Run("is the same for the same seed", func(t *testing.T) {
		assert.DeepEqual(t, NewPlan(7, time.Minute), NewPlan(7, time.Minute))
	})
	t.Run("differs between seeds", func(t *testing.T) {
		assert.Assert(t, len(NewPlan(7, time.Minute).Schedule) != len(NewPlan(8, time.Minute).Schedule))
	})
	t.Run("wipes at most one disk at a time", func(t *testing.T) {
		for seed := range uint64(200) {
			var earliest time.Duration
			for _, e := range NewPlan(seed, 2*time.Minute).Schedule {
				w, ok := e.Fault.(Wipe)
				if !ok {
					continue
				}
				assert.Assert(t, e.After >= earliest, "seed %d", seed)
				earliest = e.After + w.Down + diskRecoveryGrace
			}
		}
	})
}
