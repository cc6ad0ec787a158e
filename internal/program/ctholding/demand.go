package ctholding

import "time"

// The terms of a demand.
const (
	// samplesPerMaxAge is how many samples are taken within the accepted age.
	samplesPerMaxAge = 8
	// minSampleInterval is the shortest time between two samples on demand.
	minSampleInterval = 20 * time.Millisecond
	// demandTTL is how long a demand lasts after it was heard.
	demandTTL = 3 * time.Second
)

// demand is how often a member must be sampled for the reads that it was asked
// for lately. Its zero value demands nothing.
type demand struct {
	interval  time.Duration
	expiresAt time.Time
}

// add notes that samples are needed interval so often, and reports whether that is
// more often than they were taken.
func (d *demand) add(now time.Time, interval time.Duration) bool {
	if interval <= 0 {
		return false
	}
	expired := !now.Before(d.expiresAt)
	shorter := expired || interval < d.interval
	if expired || interval <= d.interval {
		d.interval, d.expiresAt = interval, now.Add(demandTTL)
	}
	return shorter
}

// intervalAt returns the time between two samples: that of the demand, within
// bounds, or the longest one where there is no demand.
func (d *demand) intervalAt(now time.Time, longest time.Duration) time.Duration {
	if d.interval == 0 || !now.Before(d.expiresAt) {
		return longest
	}
	return min(longest, max(minSampleInterval, d.interval))
}
