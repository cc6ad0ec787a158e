package ctthrottle

import (
	"math"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
)

const (
	// halfLife is the time in which a count decays to a half.
	halfLife = 2 * time.Second
	// acceptMultiple is how many requests are sent for each accepted one.
	acceptMultiple = 1.5
	// divisorPadding is added to the number of requests when the refused share is
	// computed. It keeps the share small while few requests are counted.
	divisorPadding = 10
	// maxRefusedShare limits the refused share, so that the proxy soon notices when
	// a member accepts requests again.
	maxRefusedShare = 0.9
	// shareSteps is the range of the random numbers that are compared with a share.
	shareSteps = 1 << 20
)

// Throttle limits the requests to one member. Its zero value has no counts and
// allows everything. It must not be used concurrently.
type Throttle struct {
	// requests and accepted are the decayed counts as of updatedAt.
	requests  float64
	accepted  float64
	updatedAt time.Time
}

// Allow reports whether to send a request. A refused request is counted here; for
// a request that is sent, the caller must call RecordAnswer.
func (t *Throttle) Allow(now time.Time, random ctretry.Random) bool {
	t.decay(now)
	refusedShare := min(maxRefusedShare, (t.requests-acceptMultiple*t.accepted)/(t.requests+divisorPadding))
	if refusedShare <= 0 || float64(random.Int64N(shareSteps)) >= refusedShare*shareSteps {
		return true
	}
	t.requests++
	return false
}

// RecordAnswer counts a request that was sent. accepted is false if the member
// refused it because of its load.
func (t *Throttle) RecordAnswer(now time.Time, accepted bool) {
	t.decay(now)
	t.requests++
	if accepted {
		t.accepted++
	}
}

// decay reduces the counts for the time since updatedAt.
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
