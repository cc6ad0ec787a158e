package ctfailover

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// adoptTimeout is how long a new leader waits for a primary in a group that control
// knows nothing of, before it fences the group to elect one.
const adoptTimeout = 5 * time.Second

// Machine decides on one group. The exported fields must be set, and Begin called,
// before any other method. A Machine is not safe for concurrent use.
type Machine struct {
	// Size is the declared number of members of the group. Majorities are of it.
	Size int
	// LeaseTTL is how long a write lease is valid on its holder's clock.
	LeaseTTL time.Duration
	// ReportTimeout is how long a member may go unreported before it counts as
	// lost.
	ReportTimeout time.Duration

	startedAt time.Time
	// leaseExpiresAt is when the last granted lease has expired on every clock.
	leaseExpiresAt time.Time
	members        map[ctid.Member]memberState
}

// memberState is the holder's last report on a member.
type memberState struct {
	report     ctview.MemberReport
	reportedAt time.Time
}

// Begin resets the machine when a leader starts. The leader does not know which leases
// an earlier one granted, only that none is valid for longer than longestLease.
func (m *Machine) Begin(now time.Time, longestLease time.Duration) {
	m.startedAt = now
	m.leaseExpiresAt = now.Add(ctdrift.UpperBound(longestLease))
	m.members = make(map[ctid.Member]memberState)
}

// ApplyReport applies a holder's report on a member. It ignores reports of a holder that
// is draining, because the member has another holder by then.
func (m *Machine) ApplyReport(now time.Time, report ctview.MemberReport) {
	if report.Draining {
		return
	}
	m.members[report.Member] = memberState{report: report, reportedAt: now}
}

// GrantLease reports whether a write lease is granted to the holder of the reported
// member, and records its expiry if so.
func (m *Machine) GrantLease(now time.Time, group ctview.Group, report ctview.MemberReport) bool {
	status := report.Status
	switch {
	case group.Fence > group.Term, group.Primary != report.Member, group.Term == 0:
		return false
	case status.Role != ctserver.RolePrimary, status.Received.Term != group.Term:
		return false
	case report.SurrenderedTerm >= group.Term, report.Health != ctview.HealthUp:
		return false
	}
	expiresAt := now.Add(ctdrift.UpperBound(m.LeaseTTL))
	if expiresAt.After(m.leaseExpiresAt) {
		m.leaseExpiresAt = expiresAt
	}
	return true
}

// majority returns how many members make a majority of the group.
func (m *Machine) majority() int {
	return m.Size/2 + 1
}

// alive reports whether the member answers its holder and was reported within
// ReportTimeout.
func (m *Machine) alive(now time.Time, s memberState) bool {
	return s.report.Health == ctview.HealthUp && now.Sub(s.reportedAt) <= m.ReportTimeout
}

// leaseEnded reports whether no holder can still acknowledge a write of the group's
// term, because the lease has expired or was surrendered.
func (m *Machine) leaseEnded(now time.Time, group ctview.Group) bool {
	if !now.Before(m.leaseExpiresAt) {
		return true
	}
	return m.members[group.Primary].report.SurrenderedTerm >= group.Term && group.Term > 0
}

// mostUpToDate returns the matching member with the most up-to-date log, the last point
// that it received, and the number of matching members. Of members with equal logs it
// returns the first by name.
func (m *Machine) mostUpToDate(match func(memberState) bool) (ctid.Member, ctposition.Point, int) {
	var best ctid.Member
	var point ctposition.Point
	count := 0
	for name, s := range m.members {
		if !match(s) {
			continue
		}
		count++
		received := s.report.Status.Received
		later := ctposition.Later(received, point) == received && received != point
		if best == "" || later || (received == point && name < best) {
			best, point = name, received
		}
	}
	return best, point, count
}
