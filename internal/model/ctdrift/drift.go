package ctdrift

import "time"

// maxDriftDivisor bounds the drift: the rates of two clocks differ by at most
// 1/maxDriftDivisor, that is 1 percent.
const maxDriftDivisor = 100

// UpperBound returns the longest time that one clock may measure while another one
// measures d.
func UpperBound(d time.Duration) time.Duration {
	return d + d/maxDriftDivisor
}

// LowerBound returns the shortest time that one clock may measure while another one
// measures d.
func LowerBound(d time.Duration) time.Duration {
	return d - d/maxDriftDivisor
}
