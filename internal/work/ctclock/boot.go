package ctclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a clock that also counts the time for which the machine was suspended.
// Leases need it, because they expire during a suspension too. It starts at the time
// of day of the first Now; later changes of the time of day don't affect it. Its
// zero value is ready for use.
type BootTime struct {
	once sync.Once
	// start is the time of day of the first Now, and startOffset the time from the
	// machine's boot to then.
	start       time.Time
	startOffset time.Duration
}

// Now returns the time, without a monotonic clock reading.
func (b *BootTime) Now() time.Time {
	b.once.Do(func() {
		b.start = time.Now().Round(0)
		b.startOffset = sinceBoot()
	})
	return b.start.Add(sinceBoot() - b.startOffset)
}

// After returns a channel that receives the time once, when d has passed. Unlike
// Now, it may not count the time for which the machine is suspended.
func (b *BootTime) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// sinceBoot returns the time since the machine's boot, suspensions included.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("ctclock: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
