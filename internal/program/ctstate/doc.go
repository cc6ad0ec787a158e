/*
Package ctstate holds the state that a proxy process has of the fleet: the current
view with the proxy's authority to act on it, the write leases, and the routing hints
from members' answers.

# Sharing

The parts of a proxy share one State. Its tables are locked in the order of their
ranks. Each method locks only one table, and holds the lock for a short time.

# Usage

	state := ctstate.New()
	view := state.View(&held)
	if state.HasLease(&held, "fit-registry", term, now) {
		...
	}
*/
package ctstate
