package ctage

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// maxSamples limits the samples that the replica hasn't reached yet. Beyond it, every
// other sample is dropped, which can make the known age too high and never too low.
const maxSamples = 64

// Meter measures the age of one replica's data. Its zero value knows no age.
type Meter struct {
	// samples are those that the replica hasn't reached yet.
	samples []sample
	// freshAsOf is a time up to which the replica has applied all writes. It is set
	// only if known is true.
	freshAsOf time.Time
	known     bool
}

// sample is a point of the group's log, with the time before it was requested from
// the primary's holder.
type sample struct {
	requestedAt time.Time
	point       ctposition.Point
}

// AddSample records that the group's log ended at point at some time after
// requestedAt.
func (m *Meter) AddSample(requestedAt time.Time, point ctposition.Point) {
	if len(m.samples) >= maxSamples {
		m.dropEveryOther()
	}
	m.samples = append(m.samples, sample{requestedAt: requestedAt, point: point})
}

// RecordApplied records the point that the replica has applied. It returns whether
// the replica's data is now known to be fresher than before.
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

// Reset drops all samples and the known age. It is called when the replica's process
// was replaced.
func (m *Meter) Reset() {
	*m = Meter{}
}

// Age returns an upper bound of the age of the replica's data at the time now, and
// whether an age is known.
func (m *Meter) Age(now time.Time) (time.Duration, bool) {
	if !m.known {
		return 0, false
	}
	return max(0, now.Sub(m.freshAsOf)), true
}

// dropEveryOther removes the first and then every second sample.
func (m *Meter) dropEveryOther() {
	kept := m.samples[:0]
	for i, s := range m.samples {
		if i%2 == 1 {
			kept = append(kept, s)
		}
	}
	m.samples = kept
}
