package ctintake

import "time"

// Gate bounds the connections that a process accepts in a second. Rate must be set. It is
// not safe for concurrent use.
type Gate struct {
	// Rate is how many connections are accepted in a second in the long run, and Burst how
	// many at once after a rest.
	Rate, Burst int

	// full is when a burst is possible again.
	full time.Time
}

// Admit reports whether a connection that arrives now is accepted, and counts it if it is.
func (g *Gate) Admit(now time.Time) bool {
	interval := time.Second / time.Duration(g.Rate)
	full := g.full
	if full.Before(now) {
		full = now
	}
	full = full.Add(interval)
	if full.Sub(now) > time.Duration(g.Burst)*interval {
		return false
	}
	g.full = full
	return true
}
