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
	// multiple is how many requests are sent for each that is taken.
	multiple = 1.5
	// slack is how many requests are sent before their share counts in full.
	slack = 10
	// mostRefused is the largest share that is refused, so that it is soon
	// noticed when a member takes requests again.
	mostRefused = 0.9
	// fine divides shares into steps for the random source.
	fine = 1 << 20
)

// Throttle limits what is sent to one member. Its zero value allows everything.
type Throttle struct {
	asked float64
	taken float64
	at    time.Time
}

// Allow reports whether to send a request.
func (t *Throttle) Allow(now time.Time, random ctretry.Random) bool {
	t.fade(now)
	excess := min(mostRefused, (t.asked-multiple*t.taken)/(t.asked+slack))
	if excess <= 0 || float64(random.Int64N(fine)) >= excess*fine {
		return true
	}
	t.asked++
	return false
}

// RecordAnswer notes the answer to a request that was sent: whether the member took
// it, or refused it because of its load.
func (t *Throttle) RecordAnswer(now time.Time, taken bool) {
	t.fade(now)
	t.asked++
	if taken {
		t.taken++
	}
}

// fade lets the counts fade since they were last changed.
func (t *Throttle) fade(now time.Time) {
	passed := now.Sub(t.at)
	t.at = now
	if passed <= 0 {
		return
	}
	left := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	t.asked *= left
	t.taken *= left
}
