package ctplace

import "time"

const (
	// meanDivisor is the part of a new observation in the mean, one in so many.
	meanDivisor = 5
	// observationTTL is how long an observation counts; a member that was slow is tried
	// again after it.
	observationTTL = 3 * time.Second
)

// Latency is the mean time of a member's recent answers. Its zero value knows
// nothing.
type Latency struct {
	mean       time.Duration
	observedAt time.Time
}

// Observe takes the time that one answer took.
func (l *Latency) Observe(now time.Time, latency time.Duration) {
	if l.observedAt.IsZero() || now.Sub(l.observedAt) > observationTTL {
		l.mean = latency
	} else {
		l.mean += (latency - l.mean) / meanDivisor
	}
	l.observedAt = now
}

// Expected returns the expected time of an answer; it goes back to base as the
// observations grow old.
func (l *Latency) Expected(now time.Time, base time.Duration) time.Duration {
	age := now.Sub(l.observedAt)
	if l.observedAt.IsZero() || age >= observationTTL {
		return base
	}
	return l.mean + time.Duration(float64(base-l.mean)*float64(age)/float64(observationTTL))
}
