package ctthrottle

import (
	"math"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
)

// The terms of a throttle.
const (
	// halfLife is how long it takes a count to fade to a half.
	halfLife = 2 * time.Second
	// acceptMultiple is how many requests are sent for each that is taken.
	acceptMultiple = 1.5
	// divisorPadding is how many requests are sent before their share counts in full.
	divisorPadding = 10
	// maxRefusedShare is the largest share that is refused, so that it is soon
	// noticed when a member takes requests again.
	maxRefusedShare = 0.9
	// shareSteps divides shares into steps for the random source.
	shareSteps = 1 << 20
)

// Throttle limits what is sent to one member. Its zero value allows everything.
type Throttle struct {
	requests  float64
	accepted  float64
	updatedAt time.Time
}

// Allow reports whether to send a request.
func (t *Throttle) Allow(now time.Time, random ctretry.Random) bool {
	t.decay(now)
	refusedShare := min(maxRefusedShare, (t.requests-acceptMultiple*t.accepted)/(t.requests+divisorPadding))
	if refusedShare <= 0 || float64(random.Int64N(shareSteps)) >= refusedShare*shareSteps {
		return true
	}
	t.requests++
	return false
}

// RecordAnswer notes the answer to a request that was sent: whether the member took
// it, or refused it because of its load.
func (t *Throttle) RecordAnswer(now time.Time, accepted bool) {
	t.decay(now)
	t.requests++
	if accepted {
		t.accepted++
	}
}

// decay lets the counts fade since they were last changed.
func (t *Throttle) decay(now time.Time) {
	elapsed := now.Sub(t.updatedAt)
	t.updatedAt = now
	if elapsed <= 0 {
		return
	}
	remaining := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	t.requests *= remaining
	t.accepted *= remaining
}
