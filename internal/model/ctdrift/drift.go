package ctdrift

import "time"

// fraction bounds the difference of two clocks' rates: one part in so many.
const fraction = 100

// AtMost returns the longest time that may pass on one clock while another one
// measures d.
func AtMost(d time.Duration) time.Duration {
	return d + d/fraction
}

// AtLeast returns the shortest time that may pass on one clock while another one
// measures d.
func AtLeast(d time.Duration) time.Duration {
	return d - d/fraction
}
