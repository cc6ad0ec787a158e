package ctsuccession

import (
	"cmp"
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

// Waits returns what the change in progress waits for, ordered by reason and name. It is empty
// while the change has a candidate that still runs with its log, or has just begun.
func (m *Machine) Waits(now time.Time, group ctview.Group) []Wait {
	begun := m.current.fence == group.Fence && now.Sub(m.current.startedAt) >= waitReportDelay
	hasCandidate := group.Candidate != "" && !m.candidateLost(now, group)
	if !group.ChangingPrimary() || hasCandidate || !begun {
		return nil
	}
	if waits := m.missingLogs(group.Primary); len(waits) > 0 {
		return waits
	}
	for _, member := range m.members {
		if comparePoints(member.status.Received, m.lost.point) >= 0 {
			return nil
		}
	}
	return []Wait{{Member: group.Primary, Since: m.current.startedAt, Reason: ReasonPrimaryAhead}}
}

// missingLogs returns the logs, but for the primary's, that are lost and uncovered or of members
// that this leader doesn't hear.
func (m *Machine) missingLogs(primary ctid.Member) []Wait {
	var waits []Wait
	for name, lost := range m.lost.uncovered {
		waits = append(waits, Wait{Member: name, Since: lost.at, Reason: ReasonLogLost})
	}
	for name, member := range m.members {
		if member.unheard {
			waits = append(waits, Wait{Member: name, Since: m.startedAt, Reason: ReasonSilent})
		}
	}
	for name, silent := range m.silent {
		waits = append(waits, Wait{Member: name, Since: silent.since, Reason: ReasonSilent})
	}
	waits = slices.DeleteFunc(waits, func(w Wait) bool { return w.Member == primary })
	slices.SortFunc(waits, func(a, b Wait) int {
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Member, b.Member))
	})
	return waits
}
