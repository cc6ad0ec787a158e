package ctclock

import (
	"sync"
	"time"
)

// Manual is a clock that moves only when it is advanced. Its zero value stands
// at the Unix epoch.
type Manual struct {
	mutex   sync.Mutex
	elapsed time.Duration
	alarms  []alarm
}

type alarm struct {
	at      time.Duration
	channel chan time.Time
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
	channel := make(chan time.Time, 1)
	if d <= 0 {
		channel <- m.now()
		return channel
	}
	m.alarms = append(m.alarms, alarm{at: m.elapsed + d, channel: channel})
	return channel
}

// Advance moves the clock and wakes those whose time has come.
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

func (m *Manual) now() time.Time {
	return time.Unix(0, 0).UTC().Add(m.elapsed)
}
