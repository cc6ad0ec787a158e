package ctclock

import (
	"sync"
	"time"
)

// Manual is a clock that moves only when it is advanced. Its zero value stands
// at the Unix epoch.
type Manual struct {
	mutex  sync.Mutex
	passed time.Duration
	alarms []alarm
}

type alarm struct {
	at time.Duration
	to chan time.Time
}

// Now returns the epoch plus what the clock was advanced by.
func (m *Manual) Now() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.now()
}

// After returns a channel that receives the time once the clock was advanced
// by d.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	to := make(chan time.Time, 1)
	if d <= 0 {
		to <- m.now()
		return to
	}
	m.alarms = append(m.alarms, alarm{at: m.passed + d, to: to})
	return to
}

// Advance moves the clock and wakes those whose time has come.
func (m *Manual) Advance(d time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.passed += d
	kept := m.alarms[:0]
	for _, a := range m.alarms {
		if a.at > m.passed {
			kept = append(kept, a)
			continue
		}
		a.to <- m.now()
	}
	m.alarms = kept
}

func (m *Manual) now() time.Time {
	return time.Unix(0, 0).UTC().Add(m.passed)
}
