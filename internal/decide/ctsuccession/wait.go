package ctsuccession

import (
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Wait is why a change of primary has no candidate: a log that may have an acknowledged commit
// which no replica has.
type Wait struct {
	// Member is the member whose log that is.
	Member ctid.Member
	// Since is when its log was lost or when it was last heard, as far as known.
	Since  time.Time
	Reason Reason
}

// The reasons for which a change of primary waits. The first two end when the primary is heard
// or gone, the last when the member is.
const (
	// ReasonLogLost: the member lost its log after the primary last reported its own.
	ReasonLogLost Reason = "log_lost_since_the_primary_was_heard"
	// ReasonPrimaryAhead: a lost log may have had all that the primary then had, and no replica
	// has that much.
	ReasonPrimaryAhead Reason = "primary_is_ahead_of_the_replicas"
	// ReasonSilent: the member is neither heard nor known to be gone.
	ReasonSilent Reason = "member_is_silent"
)

// waitReportDelay is how long a change goes on before what it waits for is reported.
const waitReportDelay = catchUpTimeout

// Waits returns what the change in progress waits for, ordered by name. It is empty while the
// change has a candidate that still runs with its log, or has just begun.
func (m *Machine) Waits(now time.Time, group ctview.Group) []Wait {
	begun := m.current.fence == group.Fence && now.Sub(m.current.startedAt) >= waitReportDelay
	hasCandidate := group.Candidate != "" && !m.candidateLost(now, group)
	if !group.ChangingPrimary() || hasCandidate || !begun {
		return nil
	}
	var waits []Wait
	for _, name := range slices.Sorted(maps.Keys(m.lost.uncovered)) {
		if name != group.Primary {
			waits = append(waits, Wait{Member: name, Since: m.lost.uncovered[name].at, Reason: ReasonLogLost})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.silent)) {
		if name != group.Primary {
			waits = append(waits, Wait{Member: name, Since: m.silent[name].since, Reason: ReasonSilent})
		}
	}
	if len(waits) > 0 {
		return waits
	}
	for _, member := range m.members {
		if comparePoints(member.status.Received, m.lost.point) >= 0 {
			return nil
		}
	}
	return []Wait{{Member: group.Primary, Since: m.current.startedAt, Reason: ReasonPrimaryAhead}}
}
