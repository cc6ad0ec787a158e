package ctintake

import (
	"net/netip"
	"time"
)

// Gate bounds the connections that a process accepts in a second. Rate must be set. It is
// not safe for concurrent use.
type Gate struct {
	// Rate is how many connections are accepted in a second in the long run, and Burst how
	// many at once after a rest.
	Rate, Burst int
	// Connected holds the addresses of which a connection was accepted. With its zero value none is
	// accepted beyond the rate.
	Connected Recent

	// refilledAt is when a whole burst is possible again, as in the generic cell rate algorithm.
	refilledAt time.Time
}

// Admit reports whether a connection that arrives now is accepted, and counts it if it is.
func (g *Gate) Admit(now time.Time) bool {
	interval := time.Second / time.Duration(g.Rate)
	refilled := g.refilledAt
	if refilled.Before(now) {
		refilled = now
	}
	refilled = refilled.Add(interval)
	if refilled.Sub(now) > time.Duration(g.Burst)*interval {
		return false
	}
	g.refilledAt = refilled
	return true
}

// AdmitFrom is Admit for a connection from an address. One that is not in Connected is accepted
// beyond the rate.
func (g *Gate) AdmitFrom(now time.Time, remote netip.Addr) bool {
	admitted, known := g.Admit(now), g.Connected.Contains(now, remote)
	if !admitted && known {
		return false
	}
	return g.Connected.Add(now, remote) || admitted
}
