package ctview_test

import (
	"math"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

func member(name ctid.Member) ctserver.Announcement {
	return ctserver.Announcement{
		Group: "g", Member: name, FailureDomain: "d", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1,
		Role: ctserver.RoleReplica, State: ctserver.StateReady, Term: 1, Slots: 2, Connections: 4,
	}
}

// TestOddMember covers another writer's entry among the members. One entry that can't be
// used must not keep processes from following the others.
func TestOddMember(t *testing.T) {
	odd := member("odd")
	odd.Slots, odd.Connections = math.MaxInt, math.MaxInt
	delta := &ctview.Delta{To: 1, Members: []ctserver.Announcement{member("a"), odd, member("b")}}
	assert.NilError(t, delta.Check())
	view, err := (&ctview.View{}).Apply(delta)
	assert.NilError(t, err)
	assert.DeepEqual(t, view.MembersOf("g"), []ctid.Member{"a", "b"})
}
