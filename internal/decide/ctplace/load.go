package ctplace

import "time"

const (
	// weight is the part of a new observation in the mean, one in so many.
	weight = 5
	// memory is how long an observation counts; a member that was slow is tried
	// again after it.
	memory = 3 * time.Second
)

// Latency is the mean time of a member's recent answers. Its zero value knows
// nothing.
type Latency struct {
	mean time.Duration
	at   time.Time
}

// Observe takes the time that one answer took.
func (l *Latency) Observe(now time.Time, took time.Duration) {
	if l.at.IsZero() || now.Sub(l.at) > memory {
		l.mean = took
	} else {
		l.mean += (took - l.mean) / weight
	}
	l.at = now
}

// Expected returns the expected time of an answer; it goes back to base as the
// observations grow old.
func (l *Latency) Expected(now time.Time, base time.Duration) time.Duration {
	age := now.Sub(l.at)
	if l.at.IsZero() || age >= memory {
		return base
	}
	return l.mean + time.Duration(float64(base-l.mean)*float64(age)/float64(memory))
}
