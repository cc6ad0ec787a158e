package ctdrift

import "time"

// maxDriftDivisor bounds the difference of two clocks' rates: one part in so many.
const maxDriftDivisor = 100

// UpperBound returns the longest time that may pass on one clock while another one
// measures d.
func UpperBound(d time.Duration) time.Duration {
	return d + d/maxDriftDivisor
}

// LowerBound returns the shortest time that may pass on one clock while another one
// measures d.
func LowerBound(d time.Duration) time.Duration {
	return d - d/maxDriftDivisor
}
