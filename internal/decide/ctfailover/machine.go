package ctfailover

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// adoptTime is how long a group that control knows nothing of may go without a
// member that says it is the primary before one is chosen.
const adoptTime = 5 * time.Second

// Machine decides on one group. Its exported fields are set at its start.
type Machine struct {
	// Size is how many members the group has.
	Size int
	// LeaseTTL is how long a write lease lasts.
	LeaseTTL time.Duration
	// ReportTimeout is how long a member may go unheard of before it counts as
	// gone.
	ReportTimeout time.Duration

	began       time.Time
	leasedUntil time.Time
	accounts    map[ctid.Member]account
}

// account is what is known of a member.
type account struct {
	held  ctview.MemberReport
	heard time.Time
}

// Begin starts the machine on a new leader, which does not know what leases
// the earlier one granted: none of them lasts longer than longest.
func (m *Machine) Begin(now time.Time, longest time.Duration) {
	m.began = now
	m.leasedUntil = now.Add(ctdrift.UpperBound(longest))
	m.accounts = make(map[ctid.Member]account)
}

// ApplyReport takes a holder's account of a member.
func (m *Machine) ApplyReport(now time.Time, held ctview.MemberReport) {
	if held.Draining {
		return
	}
	m.accounts[held.Member] = account{held: held, heard: now}
}

// GrantLease grants a write lease to the holder of the member, and reports whether
// it does.
func (m *Machine) GrantLease(now time.Time, group ctview.Group, held ctview.MemberReport) bool {
	status := held.Status
	switch {
	case group.Fence > group.Term, group.Primary != held.Member, group.Term == 0:
		return false
	case status.Role != ctserver.RolePrimary, status.Received.Term != group.Term:
		return false
	case held.SurrenderedTerm >= group.Term, held.Health != ctview.HealthUp:
		return false
	}
	until := now.Add(ctdrift.UpperBound(m.LeaseTTL))
	if until.After(m.leasedUntil) {
		m.leasedUntil = until
	}
	return true
}

// majority returns how many members make a majority of the group.
func (m *Machine) majority() int {
	return m.Size/2 + 1
}

// alive reports whether the member was heard of lately and answers its holder.
func (m *Machine) alive(now time.Time, a account) bool {
	return a.held.Health == ctview.HealthUp && now.Sub(a.heard) <= m.ReportTimeout
}

// leaseOver reports whether no holder can still acknowledge a write of the
// group's term.
func (m *Machine) leaseOver(now time.Time, group ctview.Group) bool {
	if !now.Before(m.leasedUntil) {
		return true
	}
	return m.accounts[group.Primary].held.SurrenderedTerm >= group.Term && group.Term > 0
}

// best returns the member that holds most of those that match.
func (m *Machine) best(match func(account) bool) (ctid.Member, ctposition.Point, int) {
	var best ctid.Member
	var point ctposition.Point
	count := 0
	for name, a := range m.accounts {
		if !match(a) {
			continue
		}
		count++
		received := a.held.Status.Received
		later := ctposition.Later(received, point) == received && received != point
		if best == "" || later || (received == point && name < best) {
			best, point = name, received
		}
	}
	return best, point, count
}
