package ctfailover

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// adoptTimeout is how long a group that control knows nothing of may go without a
// member that says it is the primary before one is chosen.
const adoptTimeout = 5 * time.Second

// Machine decides on one group. Its exported fields are set at its start.
type Machine struct {
	// Size is how many members the group has.
	Size int
	// LeaseTTL is how long a write lease lasts.
	LeaseTTL time.Duration
	// ReportTimeout is how long a member may go unheard of before it counts as
	// gone.
	ReportTimeout time.Duration

	startedAt      time.Time
	leaseExpiresAt time.Time
	members        map[ctid.Member]memberState
}

// memberState is what is known of a member.
type memberState struct {
	report     ctview.MemberReport
	reportedAt time.Time
}

// Begin starts the machine on a new leader, which does not know what leases
// the earlier one granted: none of them lasts longer than longest.
func (m *Machine) Begin(now time.Time, longestLease time.Duration) {
	m.startedAt = now
	m.leaseExpiresAt = now.Add(ctdrift.UpperBound(longestLease))
	m.members = make(map[ctid.Member]memberState)
}

// ApplyReport takes a holder's account of a member.
func (m *Machine) ApplyReport(now time.Time, report ctview.MemberReport) {
	if report.Draining {
		return
	}
	m.members[report.Member] = memberState{report: report, reportedAt: now}
}

// GrantLease grants a write lease to the holder of the member, and reports whether
// it does.
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

// alive reports whether the member was heard of lately and answers its holder.
func (m *Machine) alive(now time.Time, s memberState) bool {
	return s.report.Health == ctview.HealthUp && now.Sub(s.reportedAt) <= m.ReportTimeout
}

// leaseEnded reports whether no holder can still acknowledge a write of the
// group's term.
func (m *Machine) leaseEnded(now time.Time, group ctview.Group) bool {
	if !now.Before(m.leaseExpiresAt) {
		return true
	}
	return m.members[group.Primary].report.SurrenderedTerm >= group.Term && group.Term > 0
}

// mostUpToDate returns the member that holds most of those that match.
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
