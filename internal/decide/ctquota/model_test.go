package ctquota_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
)

// deploymentBounds are those of the deployments.
var deploymentBounds = ctquota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// usualPart is the usual demand as a part of the rate.
const usualPart = 1 / 1.6

// skewed returns limits and usual demands of workspaces whose sizes fall with their rank.
func skewed(count int, largest float64) ([]ctconfig.RateLimit, []float64) {
	var limits []ctconfig.RateLimit
	var usual []float64
	for i := range count {
		rate := largest * math.Pow(float64(i+1), -1.2)
		limits = append(limits, ctconfig.RateLimit{PerSecond: rate, Burst: rate})
		usual = append(usual, rate*usualPart)
	}
	return limits, usual
}

func newSkewedWorld(seed uint64, holders int, largest float64) *world {
	limits, usual := skewed(6, largest)
	return newWorld(seed, holders, deploymentBounds, limits, usual)
}

// overload multiplies the demand for the largest workspace for a time.
func (w *world) overload(factor float64, duration time.Duration) {
	usual := w.usual[0]
	w.usual[0] *= factor
	w.run(duration)
	w.usual[0] = usual
}

// The sum over all holders must stay within the ceiling whatever happens to holders, leaders
// and messages.
func TestModelWithFaults(t *testing.T) {
	t.Run("110 holders, a hot workspace", func(t *testing.T) {
		w := newSkewedWorld(1, 110, 120)
		w.run(15 * time.Second)
		w.overload(7.5, 7*time.Second)
		w.run(10 * time.Second)
		assertWithinCeilings(t, w)
		assertCapsWithinCeilings(t, w)
		assertServed(t, w, 1, 15*time.Second, 0.9)
	})
	t.Run("110 holders, partitions and restarts under overload", func(t *testing.T) {
		w := newSkewedWorld(2, 110, 120)
		w.run(10 * time.Second)
		for i := range 20 {
			w.holders[i*3].cutUntil = w.now + time.Duration(i)*300*time.Millisecond
			w.holders[i*3+1].pausedUntil = w.now + time.Duration(i)*200*time.Millisecond
			w.restart(w.holders[i*3+2])
			w.overload(4, time.Second)
		}
		assertWithinCeilings(t, w)
		assertCapsWithinCeilings(t, w)
	})
	t.Run("110 holders, changes of the leader under overload", func(t *testing.T) {
		w := newSkewedWorld(3, 110, 120)
		for _, pause := range []time.Duration{1, 2, 4, 8, 9, 1} {
			w.overload(4, pause*time.Second)
			w.changeLeader()
		}
		w.overload(4, 8*time.Second)
		assertWithinCeilings(t, w)
		assertCapsWithinCeilings(t, w)
	})
	t.Run("110 holders, all restart at once", func(t *testing.T) {
		w := newSkewedWorld(4, 110, 120)
		w.overload(4, 12*time.Second)
		for _, h := range w.holders {
			w.restart(h)
		}
		w.changeLeader()
		w.overload(4, 12*time.Second)
		assertWithinCeilings(t, w)
		assertCapsWithinCeilings(t, w)
	})
	t.Run("110 holders, a lower limit beside a partition and a change of the leader", func(t *testing.T) {
		w := newSkewedWorld(5, 110, 120)
		w.overload(4, 12*time.Second)
		w.holders[0].cutUntil = w.now + 4*time.Second
		w.setLimit(0, ctconfig.RateLimit{PerSecond: 20, Burst: 5})
		w.overload(4, time.Second)
		w.changeLeader()
		w.overload(4, 15*time.Second)
		w.setLimit(0, ctconfig.RateLimit{PerSecond: 200})
		w.overload(4, 10*time.Second)
		assertWithinCeilings(t, w)
		assertCapsWithinCeilings(t, w)
	})
	t.Run("3,000 holders", func(t *testing.T) {
		w := newSkewedWorld(6, 3000, 1500)
		w.step = 50 * time.Millisecond
		w.overload(3, 10*time.Second)
		for i := range 300 {
			w.restart(w.holders[i*10])
			w.holders[i*10+1].cutUntil = w.now + 3*time.Second
		}
		w.changeLeader()
		w.overload(3, 10*time.Second)
		assertWithinCeilings(t, w)
		assertCapsWithinCeilings(t, w)
	})
}

// Operations within the limit must not be refused.
func TestModelWithinLimits(t *testing.T) {
	t.Run("usual demand", func(t *testing.T) {
		w := newSkewedWorld(7, 110, 120)
		w.run(12 * time.Second)
		w.outcomes = outcomes{}
		w.run(20 * time.Second)
		assert.Equal(t, w.outcomes.rejected+w.outcomes.expired, 0, "%+v", w.outcomes)
		assertServed(t, w, 0, 12*time.Second, 0.9)
	})
	t.Run("a burst", func(t *testing.T) {
		w := newSkewedWorld(8, 20, 60)
		w.run(15 * time.Second)
		w.outcomes = outcomes{}
		w.overload(1.7, 3*time.Second)
		assertFewRefused(t, w)
	})
	t.Run("a shift of demand between holders, as a change of primary makes", func(t *testing.T) {
		limits, usual := skewed(1, 100)
		w := newWorld(10, 12, deploymentBounds, limits, usual)
		w.concentrate(0, 1, 2, 3, 4, 5, 6, 7)
		w.run(15 * time.Second)
		w.outcomes = outcomes{}
		w.concentrate(4, 5, 6, 7, 8, 9, 10, 11)
		w.run(10 * time.Second)
		assertFewRefused(t, w)
		assertCapsWithinCeilings(t, w)
	})
	t.Run("a restart of a holder whose demand moves to others", func(t *testing.T) {
		limits, usual := skewed(1, 100)
		w := newWorld(11, 12, deploymentBounds, limits, usual)
		w.concentrate(0, 1, 2, 3, 4, 5, 6, 7)
		w.run(15 * time.Second)
		w.outcomes = outcomes{}
		w.restart(w.holders[0])
		w.concentrate(1, 2, 3, 4, 5, 6, 7, 8)
		w.run(10 * time.Second)
		assertFewRefused(t, w)
		assertCapsWithinCeilings(t, w)
	})
	t.Run("a change of the leader", func(t *testing.T) {
		limits, usual := skewed(2, 100)
		w := newWorld(12, 12, deploymentBounds, limits, usual)
		w.run(15 * time.Second)
		w.outcomes = outcomes{}
		w.changeLeader()
		w.run(10 * time.Second)
		assertFewRefused(t, w)
	})
	t.Run("replies name few caps while demand is steady", func(t *testing.T) {
		w := newSkewedWorld(9, 110, 120)
		w.run(12 * time.Second)
		w.outcomes = outcomes{}
		w.run(10 * time.Second)
		assert.Assert(t, w.outcomes.caps <= 2*w.outcomes.reports, "%+v", w.outcomes)
	})
}

// assertFewRefused checks that at most one in a hundred operations was refused or expired.
func assertFewRefused(t *testing.T, w *world) {
	t.Helper()
	assert.Assert(t, (w.outcomes.rejected+w.outcomes.expired)*100 <= w.outcomes.admitted, "%+v", w.outcomes)
}

// A random sequence of faults must not lead to more operations than the ceiling in any window,
// nor to caps that allow more. The demand moves between holders, so that all of the capacity
// is granted or charged.
func TestModelProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := ctquota.Bounds{
			Window:  time.Duration(rapid.IntRange(1, 6).Draw(t, "window")) * time.Second,
			Overage: rapid.Float64Range(0, 0.2).Draw(t, "overage"), Slack: rapid.Float64Range(0, 20).Draw(t, "slack"),
		}
		limits, usual := skewed(1, rapid.Float64Range(1, 40).Draw(t, "rate"))
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 8).Draw(t, "holders"), bounds, limits, usual)
		anyHolder := rapid.IntRange(0, len(w.holders)-1)
		for range rapid.IntRange(1, 20).Draw(t, "faults") {
			w.concentrate(rapid.SliceOfNDistinct(anyHolder, 1, 2, rapid.ID[int]).Draw(t, "active")...)
			w.overload(rapid.Float64Range(0, 12).Draw(t, "demand"),
				time.Duration(rapid.IntRange(20, 6000).Draw(t, "pause"))*time.Millisecond)
			h := w.holders[anyHolder.Draw(t, "holder")]
			length := time.Duration(rapid.IntRange(100, 9000).Draw(t, "length")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				h.cutUntil = w.now + length
			case 1:
				h.pausedUntil = w.now + length
			case 2:
				w.restart(h)
			case 3:
				w.changeLeader()
			case 4:
				w.setLimit(0, ctconfig.RateLimit{PerSecond: rapid.Float64Range(0, 40).Draw(t, "limit")})
			}
		}
		w.overload(8, 2*time.Second)
		assertWithinCeilings(t, w)
		assertCapsWithinCeilings(t, w)
	})
}
