package ctcontrol

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// TestReusedAddressKeepsMemberSilent covers a group that never got a primary again: its silent
// member's address belongs to a member of another group, so that it can't come back.
func TestReusedAddressKeepsMemberSilent(t *testing.T) {
	l := newLeader(2)
	now := time.Unix(1000, 0)
	l.successions = make(map[ctid.Group]*ctsuccession.Machine)
	l.proxies = ctsuccession.NewProxyTracker(now)
	for i := range 2 {
		l.startSuccession(now, groupName(i))
	}
	address := netip.MustParseAddrPort("10.0.0.9:1")
	machine := l.successions[groupName(0)]
	machine.AddSilent(ctserver.Announcement{Group: groupName(0), Member: "old", Address: address, Incarnation: 1})
	(&Control{}).recordAnnouncement(now, l, ctserver.Announcement{
		Group: groupName(1), Member: "new", Address: address, Incarnation: 2,
		State: ctserver.StateReady, Role: ctserver.RoleReplica,
	})
	_, listed := l.roster.Member("new")
	assert.Assert(t, listed)
	assert.Equal(t, len(machine.Unlisted(func(ctid.Member) bool { return true })), 0)
}
