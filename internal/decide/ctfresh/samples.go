package ctfresh

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// The bounds of what is kept.
const (
	// minSampleInterval is the least time between two samples that are kept: what lies
	// between them is covered by the later one.
	minSampleInterval = 50 * time.Millisecond
	// maxSamples is how many samples are kept.
	maxSamples = 128
)

// sample is a place in the log with when it was asked for.
type sample struct {
	requestedAt time.Time
	point       ctposition.Point
}

// Samples holds what is known of a group's log, in ascending order of time. Its
// zero value is empty.
type Samples struct {
	samples []sample
}

// Add takes the point of an answer of the primary to a query sent at a time. A
// sample that was sent before the newest one tells nothing more.
func (s *Samples) Add(requestedAt time.Time, point ctposition.Point) {
	if point.IsZero() {
		return
	}
	if n := len(s.samples); n > 0 {
		newest := s.samples[n-1]
		if !requestedAt.After(newest.requestedAt) || newest.point.Term > point.Term {
			return
		}
		if n > 1 && requestedAt.Sub(s.samples[n-2].requestedAt) < minSampleInterval {
			s.samples = s.samples[:n-1]
		}
	}
	s.samples = append(s.samples, sample{requestedAt: requestedAt, point: point})
	if len(s.samples) > maxSamples {
		s.samples = append(s.samples[:0], s.samples[len(s.samples)-maxSamples:]...)
	}
}

// PointCovering returns the earliest known point that covers every commit acknowledged
// before a time, and whether one is known.
func (s *Samples) PointCovering(before time.Time) (ctposition.Point, bool) {
	for _, candidate := range s.samples {
		if !candidate.requestedAt.Before(before) {
			return candidate.point, true
		}
	}
	return ctposition.Point{}, false
}

// Newest returns when the newest sample was sent; the zero time for none.
func (s *Samples) Newest() time.Time {
	if len(s.samples) == 0 {
		return time.Time{}
	}
	return s.samples[len(s.samples)-1].requestedAt
}
