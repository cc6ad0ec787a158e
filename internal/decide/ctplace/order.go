package ctplace

import (
	"cmp"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// Candidate is a member that may run a statement, with what is known of it.
type Candidate struct {
	Member ctid.Member
	// Primary reports whether it is the group's primary.
	Primary bool
	// Local reports whether it is in the failure domain of this process.
	Local bool
	// Latency is what is known of its speed.
	Latency Latency
	// Running is how many statements this process runs on it, and Free how many
	// connections to it are idle or may be opened.
	Running         int
	FreeConnections int
	// Applied is the point that its log is known to have reached.
	Applied ctposition.Point
	// AvoidUntil is until when it is tried last, because it failed, was busy or
	// lagged behind.
	AvoidUntil time.Time
}

// The expected times of members that nothing is known of.
const (
	localLatency  = 10 * time.Millisecond
	remoteLatency = 50 * time.Millisecond
	// primaryPenalty is what a read at the primary is put behind others, because
	// writes have no other place to go.
	primaryPenalty = 5 * time.Millisecond
)

// Order returns the candidates in the order in which they are to be tried.
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

func avoidRank(now time.Time, c Candidate) int {
	if now.Before(c.AvoidUntil) {
		return 1
	}
	return 0
}

// expectedLatency returns the time that a statement is expected to take.
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
