package ctclock

import "time"

// Clock tells the time.
type Clock interface {
	// Now returns the time, which never runs backwards.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the machine's clock. Its zero value is ready for use.
type System struct{}

// Now returns the machine's time with its monotonic reading.
func (System) Now() time.Time {
	return time.Now()
}

// After waits on the machine's clock.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}
