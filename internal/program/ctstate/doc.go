/*
Package ctstate holds what a proxy process knows of the fleet: its view, its
write leases and the hints that answers brought.

# Sharing

The parts of a proxy share one State. Its tables are locked in the order of
their ranks; each method locks one table for a moment.

# Usage

	state := ctstate.New()
	view := state.View(&held)
	if state.Leased(&held, "fit-registry", term, now) {
		...
	}
*/
package ctstate
