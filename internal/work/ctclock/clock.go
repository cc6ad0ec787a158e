package ctclock

import "time"

// Clock is a source of the time.
type Clock interface {
	// Now returns the current time. It never goes backwards.
	Now() time.Time
	// After returns a channel that receives the time once, when d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the machine's clock. Its zero value is ready for use.
type System struct{}

// Now returns the time of day with a monotonic clock reading.
func (System) Now() time.Time {
	return time.Now()
}

// After returns a channel that receives the time once, when d has passed.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}
