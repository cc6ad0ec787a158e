package ctplace

import "time"

const (
	// meanDivisor sets the share of a new observation in the moving mean, which is
	// 1/meanDivisor.
	meanDivisor = 5
	// observationTTL is how long an observation counts. After it, a member that was
	// slow is tried again.
	observationTTL = 3 * time.Second
)

// Latency is the moving mean of a member's recent response times. Its zero value
// has no observations.
type Latency struct {
	mean       time.Duration
	observedAt time.Time
}

// Observe adds the response time of one answer, received at now, to the mean.
func (l *Latency) Observe(now time.Time, latency time.Duration) {
	if l.observedAt.IsZero() || now.Sub(l.observedAt) > observationTTL {
		l.mean = latency
	} else {
		l.mean += (latency - l.mean) / meanDivisor
	}
	l.observedAt = now
}

// Expected returns the expected response time. It moves linearly from the mean back
// to base over observationTTL, and is base without observations.
func (l *Latency) Expected(now time.Time, base time.Duration) time.Duration {
	age := now.Sub(l.observedAt)
	if l.observedAt.IsZero() || age >= observationTTL {
		return base
	}
	return l.mean + time.Duration(float64(base-l.mean)*float64(age)/float64(observationTTL))
}
