/*
Package ctclock provides the clocks of the other packages, so that tests can
control the time.

# Clocks

Code that needs the time reads it from a Clock. Programs use System, or BootTime
if the time must go on while the machine is suspended. Tests use Manual, which
stands still until it is advanced.

A time read from a Clock is compared only with times of the same Clock. The clocks
of different processes are not assumed to agree.

# Usage

	clock := &ctclock.Manual{}
	clock.Advance(2 * time.Second)
	now := clock.Now()
*/
package ctclock
