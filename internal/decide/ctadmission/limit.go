package ctadmission

import (
	"math"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
)

const (
	// rejectionFactor and lateFactor set the bound, as a part of what was in flight, after a
	// rejection and after a late response.
	rejectionFactor = 0.7
	lateFactor      = 0.9
	// lateMultiple is how many times as long as usual responses must take to be late. The
	// member's slots are then in use and its queue holds about twice as many statements.
	lateMultiple = 3
	// minLate is the least response time that is late. Below it, other kinds of statements
	// explain slower responses.
	minLate = 50 * time.Millisecond
	// smoothing is the weight of a response in the mean response time.
	smoothing = 0.1
	// usualWindow is how long the shortest mean response time counts as usual, at least.
	usualWindow = 10 * time.Second
	// scarceTTL is how long after a rejection late responses lower the bound. Without rejections,
	// the cause of late responses is a slow member, whose slots a bound would leave idle.
	scarceTTL = time.Minute
	// boundTTL is how long the bound stays after the last rejection or late response.
	boundTTL = 5 * time.Second
)

// Outcome is what became of a statement that was in flight.
type Outcome interface {
	isOutcome()
}

// Answered means that the member ran the statement and responded after Latency.
type Answered struct {
	Latency time.Duration
}

// Rejected means that the member rejected the statement because it had no room.
type Rejected struct{}

// Unmeasured is the outcome of a statement that says nothing about the member's load.
type Unmeasured struct{}

func (Answered) isOutcome()   {}
func (Rejected) isOutcome()   {}
func (Unmeasured) isOutcome() {}

// Limit bounds how many statements this process has in flight at one member. Its zero value has
// no bound. It must not be used concurrently.
type Limit struct {
	// Slots is how many statements the member runs at once, and Processes how many processes
	// send it statements. Late responses alone lower the bound only to lateMultiple times
	// this process's share of the slots.
	Slots     int
	Processes int

	inFlight int
	// bound is infinite if bounded is false.
	bound   float64
	bounded bool
	// loweredAt is when the bound was last lowered. Statements sent before tell nothing about
	// it.
	loweredAt time.Time
	// rejectedAt is when the member last rejected a statement; zero if it never did.
	rejectedAt time.Time
	// rejections counts the recent rejections at the bound 1. Each response halves it.
	rejections  int
	pausedUntil time.Time

	mean float64
	// usual is the shortest mean since windowStart, and usualBefore that of the window before.
	usual, usualBefore float64
	windowStart        time.Time
}

// Bound returns how many statements may be in flight, or 0 if any number may.
func (l *Limit) Bound() int {
	if !l.bounded {
		return 0
	}
	return int(l.bound)
}

// InFlight returns how many statements are in flight.
func (l *Limit) InFlight() int {
	return l.inFlight
}

// PausedUntil returns until when nothing is to be sent.
func (l *Limit) PausedUntil() time.Time {
	return l.pausedUntil
}

// Allows reports whether a statement that continues no transaction may be sent.
func (l *Limit) Allows(now time.Time) bool {
	if l.bounded && now.Sub(l.loweredAt) > boundTTL {
		l.bounded = false
	}
	return !now.Before(l.pausedUntil) && (!l.bounded || l.inFlight < int(l.bound))
}

// Start counts a statement that is sent.
func (l *Limit) Start() {
	l.inFlight++
}

// Discard stops counting a statement that was not sent, or whose outcome is unknown.
func (l *Limit) Discard() {
	l.inFlight = max(0, l.inFlight-1)
}

// Finish records what became of a statement that was sent at sentAt.
func (l *Limit) Finish(now, sentAt time.Time, outcome Outcome, random ctretry.Random) {
	before := l.inFlight
	l.Discard()
	switch o := outcome.(type) {
	case Rejected:
		l.reject(now, sentAt, before, random)
	case Answered:
		l.rejections /= 2
		l.observe(now, o.Latency)
		switch {
		case sentAt.Before(l.loweredAt):
		case l.late(now):
			l.lower(now, lateFactor, before, l.lateFloor())
			l.pauseIfLeast(now, random)
		case l.bounded && before >= int(l.bound):
			l.bound += min(1, l.fairShare()) / l.bound
		}
	case Unmeasured:
	}
}

// reject lowers the bound, or pauses if it is 1 already.
func (l *Limit) reject(now, sentAt time.Time, before int, random ctretry.Random) {
	if !sentAt.Before(l.loweredAt) {
		l.lower(now, rejectionFactor, before, 1)
	}
	l.loweredAt, l.rejectedAt = now, now
	if int(l.bound) <= 1 {
		l.rejections++
		l.pausedUntil = now.Add(ctretry.Backoff(l.rejections, random))
	}
}

// pauseIfLeast pauses for up to the mean response time if the bound is 1. Many processes would
// otherwise fill the member's queue with one statement each.
func (l *Limit) pauseIfLeast(now time.Time, random ctretry.Random) {
	if l.bounded && l.bound <= 1 {
		half := int64(l.mean / 2)
		l.pausedUntil = now.Add(time.Duration(half + random.Int64N(half+1)))
	}
}

// lower lowers the bound to a part of what was in flight, but not below floor.
func (l *Limit) lower(now time.Time, factor float64, before int, floor float64) {
	base := float64(before)
	if l.bounded {
		base = min(base, l.bound)
	}
	lowered := max(floor, base*factor)
	if l.bounded && lowered >= l.bound {
		return
	}
	l.bound, l.bounded, l.loweredAt = lowered, true, now
}

// fairShare returns how many statements this process has in flight if all processes together
// have lateMultiple times as many as the member has slots.
func (l *Limit) fairShare() float64 {
	return float64(lateMultiple*max(1, l.Slots)) / float64(max(1, l.Processes))
}

// lateFloor returns the least bound after late responses.
func (l *Limit) lateFloor() float64 {
	return max(1, math.Ceil(l.fairShare()))
}

// observe adds a response time to the mean.
func (l *Limit) observe(now time.Time, latency time.Duration) {
	if l.mean == 0 {
		l.mean = float64(latency)
	}
	l.mean += (float64(latency) - l.mean) * smoothing
	if now.Sub(l.windowStart) > usualWindow {
		l.usualBefore, l.usual, l.windowStart = l.usual, l.mean, now
	}
	l.usual = min(l.usual, l.mean)
}

// late reports whether responses take much longer than usual at a member that has rejected
// statements lately.
func (l *Limit) late(now time.Time) bool {
	if l.rejectedAt.IsZero() || now.Sub(l.rejectedAt) > scarceTTL {
		return false
	}
	usual := l.usual
	if l.usualBefore > 0 {
		usual = min(usual, l.usualBefore)
	}
	return l.mean > max(float64(minLate), lateMultiple*usual)
}
