package ctretry

import "time"

// The bounds of a wait.
const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 160 * time.Millisecond
)

// Random gives random numbers.
type Random interface {
	// Int64N returns a number from 0 to n-1.
	Int64N(n int64) int64
}

// Backoff returns how long to wait before the retry that follows the stated
// number of tries, from 1. The wait doubles with each try, up to a bound, and
// lies between half of that and all of it.
func Backoff(attempt int, random Random) time.Duration {
	limit := maxBackoff
	if shift := max(attempt-1, 0); shift < 4 {
		limit = firstBackoff << shift
	}
	half := int64(limit / 2)
	return time.Duration(half + random.Int64N(half+1))
}
