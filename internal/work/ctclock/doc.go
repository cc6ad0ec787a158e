/*
Package ctclock gives the other packages their time.

# Clocks

Code that needs the time takes a Clock. Programs use System; tests and golden
runs use Manual, which stands still until it is advanced. Times read from a
Clock are compared only with times of the same Clock: no two processes are
assumed to agree on the time of day.

# Usage

	clock := &ctclock.Manual{}
	clock.Advance(2 * time.Second)
	now := clock.Now()
*/
package ctclock
