package ctage

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// maxSamples bounds the marks that wait for the replica to reach them. When more
// come, every other one is dropped, which makes the known age coarser and never
// too low.
const maxSamples = 64

// Meter measures the age of one replica's data. Its zero value knows no age.
type Meter struct {
	samples   []sample
	freshAsOf time.Time
	known     bool
}

// sample is a position of the primary with the time before it was asked for.
type sample struct {
	requestedAt time.Time
	point       ctposition.Point
}

// AddSample notes that the group's log ended at point some time after asked.
func (m *Meter) AddSample(requestedAt time.Time, point ctposition.Point) {
	if len(m.samples) >= maxSamples {
		m.dropEveryOther()
	}
	m.samples = append(m.samples, sample{requestedAt: requestedAt, point: point})
}

// RecordApplied notes what the replica has applied, and returns whether its data are
// now known to be fresher than before.
func (m *Meter) RecordApplied(applied ctposition.Point, history ctposition.History) bool {
	fresher := false
	kept := m.samples[:0]
	for _, s := range m.samples {
		if !history.Covers(applied, s.point) {
			kept = append(kept, s)
			continue
		}
		if !m.known || s.requestedAt.After(m.freshAsOf) {
			m.freshAsOf, m.known, fresher = s.requestedAt, true, true
		}
	}
	m.samples = kept
	return fresher
}

// Reset drops what is known, as when the replica's process was replaced.
func (m *Meter) Reset() {
	*m = Meter{}
}

// Age returns the highest age that the replica's data may have at the time now,
// and whether any age is known.
func (m *Meter) Age(now time.Time) (time.Duration, bool) {
	if !m.known {
		return 0, false
	}
	return max(0, now.Sub(m.freshAsOf)), true
}

func (m *Meter) dropEveryOther() {
	kept := m.samples[:0]
	for i, s := range m.samples {
		if i%2 == 1 {
			kept = append(kept, s)
		}
	}
	m.samples = kept
}
