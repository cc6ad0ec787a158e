package ctadmission

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
)

const (
	// firstFailurePause is the pause after an attempt to open a connection that failed for
	// another reason than the connection limit. It doubles up to maxFailurePause.
	firstFailurePause = 50 * time.Millisecond
	maxFailurePause   = time.Second
	// firstRejectionPause is the longest pause after a rejection because of the connection
	// limit while no connection is open. It doubles up to maxRejectionPause.
	firstRejectionPause = 100 * time.Millisecond
	maxRejectionPause   = 800 * time.Millisecond
	// firstProbePause is the longest pause before the attempt to open one connection more while
	// some are open. It doubles up to maxProbePause.
	firstProbePause = 600 * time.Millisecond
	maxProbePause   = 1500 * time.Millisecond
	// startPause is the longest time until a process that has just started tries more connections
	// than its share of the reserve.
	startPause = 2 * time.Second
)

// Opening paces the attempts to open connections to one member. Its zero value allows them. It
// must not be used concurrently.
type Opening struct {
	// failures and rejections count the consecutive attempts that failed, by reason.
	failures   int
	rejections int
	// nextAt is when the next attempt may be made, after one without an open connection failed.
	nextAt time.Time
	// accepted is how many connections the member accepted when it rejected one more; 0 if it
	// has rejected none lately. The attempt at one more is due at probeAt.
	accepted int
	probeAt  time.Time
}

// Begin limits the connections of a process that has just started to its share of those that are
// reserved for such processes: if it lost power, the member counts its former ones for a while.
func (o *Opening) Begin(now time.Time, reserved int, random ctretry.Random) {
	o.accepted = max(1, reserved)
	o.probeAt = now.Add(jittered(startPause, startPause, 0, random))
}

// NextAt returns the time before which no connection is to be opened.
func (o *Opening) NextAt() time.Time {
	return o.nextAt
}

// Failures returns how many consecutive attempts failed. Rejections because of the connection
// limit are not among them: the member can be reached.
func (o *Opening) Failures() int {
	return o.failures
}

// Max returns how many connections may be open or being opened, out of the share of this
// process.
func (o *Opening) Max(now time.Time, share, dialing int) int {
	switch {
	case now.Before(o.nextAt):
		return 0
	case o.accepted == 0:
		return share
	case dialing == 0 && !now.Before(o.probeAt):
		return min(share, o.accepted+1)
	}
	return min(share, o.accepted)
}

// RetryAt returns from when another attempt may be made, if all connections that may be open are.
func (o *Opening) RetryAt() time.Time {
	if o.accepted > 0 {
		return o.probeAt
	}
	return o.nextAt
}

// Opened records that an attempt succeeded. open is how many connections are open now.
func (o *Opening) Opened(now time.Time, open int) {
	o.failures = 0
	if o.accepted == 0 {
		o.rejections = 0
		return
	}
	if open > o.accepted {
		// The member has room again.
		o.accepted, o.rejections, o.probeAt = open, 0, now
	}
}

// Failed records that an attempt failed, but not because of the connection limit.
func (o *Opening) Failed(now time.Time) {
	o.nextAt = now.Add(min(firstFailurePause<<min(o.failures, 8), maxFailurePause))
	o.failures++
}

// Rejected records that the member rejected an attempt because of its connection limit. open is
// how many connections are open.
func (o *Opening) Rejected(now time.Time, open int, random ctretry.Random) {
	o.accepted = open
	if open == 0 {
		o.nextAt = now.Add(jittered(firstRejectionPause, maxRejectionPause, o.rejections, random))
	} else {
		o.probeAt = now.Add(jittered(firstProbePause, maxProbePause, o.rejections, random))
	}
	o.rejections++
}

// jittered returns a random pause between a half of the limit and the limit, which doubles with
// each attempt.
func jittered(first, longest time.Duration, attempt int, random ctretry.Random) time.Duration {
	limit := min(first<<min(attempt, 8), longest)
	half := int64(limit / 2)
	return time.Duration(half + random.Int64N(half+1))
}
