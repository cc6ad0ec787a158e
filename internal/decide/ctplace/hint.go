package ctplace

import "time"

// hintTTL is how long a hint counts.
const hintTTL = time.Second

// Hint is what a forwarding proxy said last of its load of a member. Its zero value is no hint.
type Hint struct {
	// Excess is by how much the proxy expects the member's response time to be above the
	// lowest.
	Excess     time.Duration
	ReceivedAt time.Time
}

// Load returns the Excess of a hint about a member with a latency, at which a process runs some
// statements while others wait for a connection. It is never 0, which stands for no hint.
func Load(now time.Time, latency Latency, running, waiting int) time.Duration {
	excess := latency.Excess(now)
	if waiting > 0 {
		floor, _ := latency.Floor(now)
		excess += (floor + excess) * time.Duration(waiting) / time.Duration(max(1, running))
	}
	return max(time.Microsecond, excess)
}

// weight returns how much the hint counts: 1 if it was just received, less with its age, and 0
// after hintTTL.
func (h Hint) weight(now time.Time) float64 {
	age := now.Sub(h.ReceivedAt)
	if h.ReceivedAt.IsZero() || age >= hintTTL {
		return 0
	}
	return 1 - float64(max(0, age))/float64(hintTTL)
}
