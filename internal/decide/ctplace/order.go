package ctplace

import (
	"cmp"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// Candidate is a member that may run a statement.
type Candidate struct {
	Member ctid.Member
	// Primary reports whether it is the group's primary.
	Primary bool
	// Local reports whether it is in the failure domain of this process.
	Local bool
	// Latency is the mean of its recent response times.
	Latency Latency
	// Running is how many statements this process runs on it, and FreeConnections
	// how many connections to it are idle or may be opened.
	Running         int
	FreeConnections int
	// Applied is the point up to which it is known to have applied the log.
	Applied ctposition.Point
	// AvoidUntil is the time until which it is tried last, because it failed, was
	// busy or was behind. It is zero if the member isn't avoided.
	AvoidUntil time.Time
	// Hint is the load that a forwarding proxy reported last. Standing is nil for a member
	// that serves. Order ignores both.
	Hint     Hint
	Standing Standing
}

const (
	// localLatency and remoteLatency are the expected latencies of members without
	// recent observations.
	localLatency  = 10 * time.Millisecond
	remoteLatency = 50 * time.Millisecond
	// primaryPenalty is added to the expected latency of the primary, because
	// writes can run nowhere else.
	primaryPenalty = 5 * time.Millisecond
)

// Order returns a copy of the candidates in the order in which to try them, by their expected
// latencies alone. Choose replaces it where load is balanced.
func Order(now time.Time, candidates []Candidate) []Candidate {
	ordered := slices.Clone(candidates)
	slices.SortStableFunc(ordered, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(avoidRank(now, a), avoidRank(now, b)),
			cmp.Compare(expectedLatency(now, a), expectedLatency(now, b)),
			cmp.Compare(a.Member, b.Member),
		)
	})
	return ordered
}

// avoidRank returns 1 for a candidate that is avoided now, and 0 otherwise.
func avoidRank(now time.Time, c Candidate) int {
	if now.Before(c.AvoidUntil) {
		return 1
	}
	return 0
}

// expectedLatency returns the time that a statement is expected to take on the
// candidate. Each statement that this process runs on it adds half of its expected
// response time. Without a free connection, the sum is doubled.
func expectedLatency(now time.Time, c Candidate) time.Duration {
	base := remoteLatency
	if c.Local {
		base = localLatency
	}
	latency := c.Latency.Expected(now, base)
	latency += latency * time.Duration(c.Running) / 2
	if c.Primary {
		latency += primaryPenalty
	}
	if c.FreeConnections == 0 {
		latency *= 2
	}
	return latency
}
