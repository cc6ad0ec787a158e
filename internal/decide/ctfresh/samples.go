package ctfresh

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// These limit the samples that are stored for a group.
const (
	// minSampleInterval is the least time between a stored sample and the second
	// one after it. A new sample that is closer to the second newest replaces the
	// newest, whose point it covers.
	minSampleInterval = 50 * time.Millisecond
	// maxSamples is the number of stored samples; the oldest are dropped first.
	maxSamples = 128
)

// sample is the end of the log, with the time before it was requested.
type sample struct {
	requestedAt time.Time
	point       ctposition.Point
}

// Samples stores the samples of one group's log. Its zero value is empty.
type Samples struct {
	// samples are in ascending order of requestedAt and of point.
	samples []sample
}

// Add adds a sample: the point in the primary's answer, and the time before the query
// was sent. A sample is ignored if it has no point, was not requested after the newest
// one, or has an earlier point: a primary's log never becomes shorter.
func (s *Samples) Add(requestedAt time.Time, point ctposition.Point) {
	if point.IsZero() {
		return
	}
	if n := len(s.samples); n > 0 {
		newest := s.samples[n-1]
		if !requestedAt.After(newest.requestedAt) || ctposition.Later(newest.point, point) != point {
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

// PointCovering returns the earliest sampled point that covers every commit
// acknowledged before the given time, and whether there is one.
func (s *Samples) PointCovering(before time.Time) (ctposition.Point, bool) {
	for _, candidate := range s.samples {
		if !candidate.requestedAt.Before(before) {
			return candidate.point, true
		}
	}
	return ctposition.Point{}, false
}

// Newest returns the time of the newest sample, or the zero time without samples.
func (s *Samples) Newest() time.Time {
	if len(s.samples) == 0 {
		return time.Time{}
	}
	return s.samples[len(s.samples)-1].requestedAt
}
