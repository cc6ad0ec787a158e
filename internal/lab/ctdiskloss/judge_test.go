package ctdiskloss

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// joinedViews returns the views of six control processes that follow "a". The voters are the first five.
func joinedViews() map[ctid.Control]view {
	views := make(map[ctid.Control]view)
	var voters []ctquorum.Peer
	for i, name := range strings.Split("abcdef", "") {
		self := ctquorum.Peer{Name: ctid.Control(name), Incarnation: ctid.Incarnation(i + 1)}
		views[self.Name] = view{self: self, leader: "a"}
		if len(voters) < 2*maxDiskLosses+1 {
			voters = append(voters, self)
		}
	}
	leader := views["a"]
	leader.voters = voters
	views["a"] = leader
	return views
}

// assertMissing changes the view of one process and checks what is then said to be missing.
func assertMissing(t *testing.T, name ctid.Control, change func(*view), want string) {
	t.Helper()
	views := joinedViews()
	v := views[name]
	change(&v)
	views[name] = v
	got := missing(views, "a")
	assert.Check(t, strings.Contains(got, want) && (got == "") == (want == ""), "%q", got)
}

// TestMissing checks that a process that hears no leader, and voters without their disks, are found.
func TestMissing(t *testing.T) {
	t.Run("all have joined", func(t *testing.T) { assertMissing(t, "a", func(*view) {}, "") })
	t.Run("a standby hears no leader", func(t *testing.T) {
		assertMissing(t, "f", func(v *view) { v.leader = "" }, "f follows")
	})
	t.Run("a voter follows another leader", func(t *testing.T) {
		assertMissing(t, "b", func(v *view) { v.leader = "c" }, "b follows")
	})
	t.Run("a voter has lost its disk", func(t *testing.T) {
		assertMissing(t, "b", func(v *view) { v.self.Incarnation = 9 }, "4 of 5 voters")
	})
	t.Run("the leader knows no voters", func(t *testing.T) {
		assertMissing(t, "a", func(v *view) { v.voters = nil }, "0 of 0 voters")
	})
}
