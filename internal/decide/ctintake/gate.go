package ctintake

import "time"

// Gate bounds the connections that a process accepts in a second. Rate must be set. It is
// not safe for concurrent use.
type Gate struct {
	// Rate is how many connections are accepted in a second in the long run, and Burst how
	// many at once after a rest.
	Rate, Burst int

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
