//go:build race

package ctproof

// raceDetector reports whether the programs are built with the race detector.
const raceDetector = true
