package ctquota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

var shareStart = time.Unix(1000, 0)

// newShare returns a share with a cap that is valid for a minute.
func newShare(granted ctid.Operations, limited bool) *ctquota.Share {
	s := &ctquota.Share{Bounds: fixtureBounds}
	s.Renew(granted, limited, shareStart.Add(time.Minute))
	return s
}

// startAll starts operations until one is not admitted, and returns how many started.
func startAll(s *ctquota.Share, now time.Time) int {
	for count := 0; ; count++ {
		if _, ok := s.Admit(now).(ctquota.Admitted); !ok || !s.Start(now) {
			return count
		}
	}
}

func assertVerdict[V ctquota.Verdict](t *testing.T, s *ctquota.Share, now time.Time) {
	t.Helper()
	verdict := s.Admit(now)
	_, ok := verdict.(V)
	assert.Assert(t, ok, "%T", verdict)
}

// A holder must not start more than its cap in a window, nor anything without one.
func TestShare(t *testing.T) {
	later := shareStart.Add(time.Second)
	t.Run("starts its cap in a window, and again after it", func(t *testing.T) {
		s := newShare(3, false)
		assert.Equal(t, startAll(s, shareStart), 3)
		assert.Equal(t, startAll(s, shareStart.Add(windowTime-time.Millisecond)), 0)
		assert.Equal(t, startAll(s, shareStart.Add(windowTime)), 3)
	})
	t.Run("counts the operations that wait for a connection", func(t *testing.T) {
		s := newShare(1, false)
		assertVerdict[ctquota.Admitted](t, s, shareStart)
		assertVerdict[ctquota.Undecided](t, s, shareStart)
		s.Cancel()
		assertVerdict[ctquota.Admitted](t, s, shareStart)
	})
	t.Run("counts them from their start", func(t *testing.T) {
		s := newShare(1, false)
		assertVerdict[ctquota.Admitted](t, s, shareStart)
		assert.Assert(t, s.Start(later))
		assertVerdict[ctquota.Undecided](t, s, shareStart.Add(windowTime))
	})
	t.Run("does not start an admitted operation once the cap is lower", func(t *testing.T) {
		s := newShare(2, false)
		assertVerdict[ctquota.Admitted](t, s, shareStart)
		s.Renew(0, false, shareStart.Add(time.Minute))
		assert.Assert(t, !s.Start(later))
	})
	t.Run("does not start an admitted operation once the cap has expired", func(t *testing.T) {
		s := newShare(2, false)
		assertVerdict[ctquota.Admitted](t, s, shareStart)
		assert.Assert(t, !s.Start(shareStart.Add(time.Minute)))
	})
	t.Run("admits nothing without a cap", func(t *testing.T) {
		assertVerdict[ctquota.Undecided](t, &ctquota.Share{}, shareStart)
	})
	t.Run("rejects at once if the limit is reached", func(t *testing.T) {
		s := newShare(1, true)
		startAll(s, shareStart)
		assertVerdict[ctquota.Rejected](t, s, shareStart)
	})
	t.Run("says when an operation leaves the window", func(t *testing.T) {
		s := newShare(1, false)
		startAll(s, shareStart)
		assert.Equal(t, s.Admit(later), ctquota.Verdict(ctquota.Undecided{RetryAt: shareStart.Add(windowTime)}))
	})
	t.Run("a refund takes back one operation, and none that has left the window", func(t *testing.T) {
		s := newShare(2, false)
		startAll(s, shareStart)
		s.Refund(shareStart)
		assert.Equal(t, startAll(s, later), 1)
		s.Refund(shareStart.Add(-time.Hour))
		assert.Equal(t, startAll(s, later), 0)
	})
	t.Run("reports an expired cap as given up", func(t *testing.T) {
		s := newShare(3, true)
		startAll(s, shareStart)
		assert.Equal(t, s.Report(later, 4), ctquota.Demand{Cap: 3, Started: 3, Refused: 5})
		assert.Equal(t, s.Report(shareStart.Add(time.Minute), 0), ctquota.Demand{})
	})
}

// TestCeiling covers limits that are not of everyday size.
func TestCeiling(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds ctquota.Bounds
		limit  ctconfig.RateLimit
		want   ctid.Operations
	}{
		{"the deployments' bounds", deploymentBounds, ctconfig.RateLimit{PerSecond: 10, Burst: 5}, 80},
		{"no bounds", ctquota.Bounds{}, ctconfig.RateLimit{PerSecond: 0.5, Burst: 1}, 3},
		{"a limit of nothing", ctquota.Bounds{}, ctconfig.RateLimit{}, 0},
		{"a limit without bound", ctquota.Bounds{}, ctconfig.RateLimit{PerSecond: 1e308}, 1 << 30},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.bounds.Ceiling(c.limit), c.want) })
	}
}

// Whatever the order of admissions, starts, refunds and caps, the operations that started and
// ran must not exceed the highest cap of any window.
func TestShareProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := shareStart
		s, highest, admitted := newShare(3, false), ctid.Operations(3), 0
		var started []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if _, ok := s.Admit(now).(ctquota.Admitted); ok {
					admitted++
				}
			case 2, 3:
				if admitted > 0 {
					admitted--
					if s.Start(now) {
						started = append(started, now)
					}
				}
			case 4:
				if i := len(started) - 1; i >= 0 {
					s.Refund(started[i])
					started = started[:i]
				}
			case 5:
				granted := ctid.Operations(rapid.IntRange(0, 5).Draw(t, "cap"))
				highest = max(highest, granted)
				s.Renew(granted, false, now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ttl"))*time.Millisecond))
			}
			count := ctid.Operations(0)
			for _, at := range started {
				if at.After(now.Add(-fixtureBounds.Window)) {
					count++
				}
			}
			assert.Assert(t, count <= highest, "%d operations with caps up to %d", count, highest)
		}
	})
}
