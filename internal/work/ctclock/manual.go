package ctclock

import (
	"sync"
	"time"
)

// Manual is a clock for tests that moves only when Advance is called. Its zero value
// stands at the Unix epoch. It is safe for concurrent use.
type Manual struct {
	mutex sync.Mutex
	// elapsed is the time since the epoch.
	elapsed time.Duration
	alarms  []alarm
}

// alarm is a call of After that waits until the clock has reached at, counted from
// the epoch.
type alarm struct {
	at      time.Duration
	channel chan time.Time
}

// Now returns the Unix epoch plus the time by which the clock was advanced.
func (m *Manual) Now() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.now()
}

// After returns a channel that receives the time once, when the clock has been
// advanced by d. It receives it at once if d is not positive.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	channel := make(chan time.Time, 1)
	if d <= 0 {
		channel <- m.now()
		return channel
	}
	m.alarms = append(m.alarms, alarm{at: m.elapsed + d, channel: channel})
	return channel
}

// Advance moves the clock forward by d and sends to the channels of After whose time
// has passed.
func (m *Manual) Advance(d time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.elapsed += d
	pending := m.alarms[:0]
	for _, a := range m.alarms {
		if a.at > m.elapsed {
			pending = append(pending, a)
			continue
		}
		a.channel <- m.now()
	}
	m.alarms = pending
}

// now returns the time. The caller holds the mutex.
func (m *Manual) now() time.Time {
	return time.Unix(0, 0).UTC().Add(m.elapsed)
}
