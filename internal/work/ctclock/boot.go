package ctclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a clock that also counts the time for which the machine was suspended,
// as leases need it. It begins at the time of day of its first use and doesn't
// follow later changes of that. Its zero value is ready for use.
type BootTime struct {
	once        sync.Once
	start       time.Time
	startOffset time.Duration
}

// Now returns the time, without a monotonic reading.
func (b *BootTime) Now() time.Time {
	b.once.Do(func() {
		b.start = time.Now().Round(0)
		b.startOffset = sinceBoot()
	})
	return b.start.Add(sinceBoot() - b.startOffset)
}

// After waits on the machine's clock, which may stand still while the machine is
// suspended.
func (b *BootTime) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("ctclock: the machine has no boot-time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
