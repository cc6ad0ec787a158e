package ctholding

import "time"

// The rate of sampling on demand.
const (
	// samplesPerMaxAge is how many samples are taken within the highest age that
	// a read accepts.
	samplesPerMaxAge = 8
	// minSampleInterval is the shortest time between two samples on demand.
	minSampleInterval = 20 * time.Millisecond
	// demandTTL is how long a demand stays valid after the last request for it.
	demandTTL = 3 * time.Second
)

// demand is the sampling rate that recent reads of a member need. Its zero value
// is no demand.
type demand struct {
	interval  time.Duration
	expiresAt time.Time
}

// add records that a read needs samples at the interval, and reports whether that
// is shorter than the interval so far. An interval of zero or less is ignored.
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

// intervalAt returns the time between two samples: the interval of the demand,
// limited to minSampleInterval and longest, or longest if there is no demand.
func (d *demand) intervalAt(now time.Time, longest time.Duration) time.Duration {
	if d.interval == 0 || !now.Before(d.expiresAt) {
		return longest
	}
	return min(longest, max(minSampleInterval, d.interval))
}
