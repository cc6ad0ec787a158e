package ctage

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// maxMarks bounds the marks that wait for the replica to reach them. When more
// come, every other one is dropped, which makes the known age coarser and never
// too low.
const maxMarks = 64

// Meter measures the age of one replica's data. Its zero value knows no age.
type Meter struct {
	marks []mark
	fresh time.Time
	known bool
}

// mark is a position of the primary with the time before it was asked for.
type mark struct {
	asked time.Time
	point ctposition.Point
}

// AddSample notes that the group's log ended at point some time after asked.
func (m *Meter) AddSample(asked time.Time, point ctposition.Point) {
	if len(m.marks) >= maxMarks {
		m.thin()
	}
	m.marks = append(m.marks, mark{asked: asked, point: point})
}

// RecordApplied notes what the replica has applied, and returns whether its data are
// now known to be fresher than before.
func (m *Meter) RecordApplied(applied ctposition.Point, history ctposition.History) bool {
	fresher := false
	kept := m.marks[:0]
	for _, k := range m.marks {
		if !history.Covers(applied, k.point) {
			kept = append(kept, k)
			continue
		}
		if !m.known || k.asked.After(m.fresh) {
			m.fresh, m.known, fresher = k.asked, true, true
		}
	}
	m.marks = kept
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
	return max(0, now.Sub(m.fresh)), true
}

func (m *Meter) thin() {
	kept := m.marks[:0]
	for i, k := range m.marks {
		if i%2 == 1 {
			kept = append(kept, k)
		}
	}
	m.marks = kept
}
