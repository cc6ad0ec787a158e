package ctretry

import "time"

// The limit of a delay starts at firstBackoff and doubles up to maxBackoff.
const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 160 * time.Millisecond
)

// Random is a source of random numbers.
type Random interface {
	// Int64N returns a number from 0 to n-1.
	Int64N(n int64) int64
}

// Backoff returns the delay before the retry that follows the given attempt,
// counted from 1; 0 counts as 1. The limit of the delay doubles with each attempt up
// to maxBackoff. The delay is random between half the limit and the limit.
func Backoff(attempt int, random Random) time.Duration {
	limit := maxBackoff
	if shift := max(attempt-1, 0); shift < 4 {
		limit = firstBackoff << shift
	}
	half := int64(limit / 2)
	return time.Duration(half + random.Int64N(half+1))
}
