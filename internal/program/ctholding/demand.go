package ctholding

import "time"

// The terms of a demand.
const (
	// samplesPerAge is how many samples are taken within the accepted age.
	samplesPerAge = 8
	// shortestInterval is the shortest time between two samples on demand.
	shortestInterval = 20 * time.Millisecond
	// demandTime is how long a demand lasts after it was heard.
	demandTime = 3 * time.Second
)

// demand is how often a member must be sampled for the reads that it was asked
// for lately. Its zero value demands nothing.
type demand struct {
	every time.Duration
	until time.Time
}

// ask notes that samples are needed every so often, and reports whether that is
// more often than they were taken.
func (d *demand) ask(now time.Time, every time.Duration) bool {
	if every <= 0 {
		return false
	}
	over := !now.Before(d.until)
	oftener := over || every < d.every
	if over || every <= d.every {
		d.every, d.until = every, now.Add(demandTime)
	}
	return oftener
}

// interval returns the time between two samples: that of the demand, within
// bounds, or the longest one where there is no demand.
func (d *demand) interval(now time.Time, longest time.Duration) time.Duration {
	if d.every == 0 || !now.Before(d.until) {
		return longest
	}
	return min(longest, max(shortestInterval, d.every))
}
