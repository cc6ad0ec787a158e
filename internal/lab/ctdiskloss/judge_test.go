package ctdiskloss

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
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

// TestJudgeProcesses checks that a process that has ended, and a data race in its log, are found.
func TestJudgeProcesses(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(log, []byte("WARNING: DATA RACE\n"), 0o600))
	system := System{controls: []*process{{Process: &ctfleet.Process{Name: "control-0", LogFile: log}}}}
	system.judgeProcesses()
	assert.DeepEqual(t, system.violations, []Violation{
		{RuleRuns, "control-0 has ended by itself"}, {RuleRuns, `the log of control-0 has "DATA RACE"`},
	})
}

// assertVictims checks which of six control processes the second loss strikes, if the first struck the first two.
func assertVictims(t *testing.T, victims Victims, leader int, want ...int) {
	t.Helper()
	var controls []*process
	for i := range controlCount {
		p := &process{isSeed: i < seedCount}
		p.settings.IP = ctfleet.Subnet(1).Address(controlAddresses, i+1)
		if i < maxDiskLosses {
			p.lostAt = 1
		}
		controls = append(controls, p)
	}
	plan := NewPlan(1)
	for _, lost := range plan.selectVictims(victims, controls, controls[leader], 2) {
		want = slices.DeleteFunc(want, func(i int) bool { return controls[i] == lost })
		assert.Check(t, lost.lostAt == 0, "%s loses its disk twice in a row", lost.peer())
	}
	assert.Check(t, len(want) == 0, fmt.Sprint(want))
}

// TestVictims checks that a loss strikes those that it names, and spares those of the loss before.
func TestVictims(t *testing.T) {
	t.Run("the leader and a seed", func(t *testing.T) { assertVictims(t, Leading{}, 4, 4, 2) })
	t.Run("seeds", func(t *testing.T) { assertVictims(t, Seeds{}, 4, 2) })
	t.Run("the oldest disks", func(t *testing.T) { assertVictims(t, Oldest{}, 0) })
	t.Run("any", func(t *testing.T) { assertVictims(t, Drawn{}, 0) })
}
