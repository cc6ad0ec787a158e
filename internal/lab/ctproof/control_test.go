package ctproof

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// quorumFleet is a fleet with a control process in each failure domain.
func quorumFleet() ctfleet.Shape {
	shape := smallFleet()
	shape.Controls = 3
	return shape
}

// controlStatus is a control process's report on the leader and the voters.
type controlStatus struct {
	Leader string `json:"leader"`
	Voters []struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
	} `json:"voters"`
}

// statusOf queries the status of a control process. It returns the zero value if
// the process does not answer.
func statusOf(fleet *ctfleet.Fleet, control *ctfleet.Process) controlStatus {
	var status controlStatus
	output, err := fleet.RunCommand("status", "--control-http", control.HTTP.String(), "--output", "json")
	if err == nil {
		_ = json.Unmarshal([]byte(output), &status)
	}
	return status
}

// awaitVoters waits until every control process knows a leader and as many voters
// as there are control processes, each with its own name.
func awaitVoters(t *testing.T, fleet *ctfleet.Fleet) {
	t.Helper()
	assert.NilError(t, ctfleet.WaitUntil("every control process is a voter", func() bool {
		names := make(map[string]bool)
		for _, c := range fleet.Controls {
			status := statusOf(fleet, c)
			if status.Leader == "" || len(status.Voters) != len(fleet.Controls) {
				return false
			}
			for _, v := range status.Voters {
				names[v.Name] = true
			}
		}
		return len(names) == len(fleet.Controls)
	}))
}

// leaderOf waits for a running control process that reports itself as the leader,
// and returns it. It skips except, which may be nil.
func leaderOf(t *testing.T, fleet *ctfleet.Fleet, except *ctfleet.Process) *ctfleet.Process {
	t.Helper()
	var leader *ctfleet.Process
	assert.NilError(t, ctfleet.WaitUntil("a control process leads", func() bool {
		for _, c := range fleet.Controls {
			if c != except && c.Running() && statusOf(fleet, c).Leader == c.Name {
				leader = c
				return true
			}
		}
		return false
	}))
	return leader
}

// assertAcceptsChange checks that control accepts a change on top of the revision
// base and that the change comes into force at every proxy.
func assertAcceptsChange(t *testing.T, fleet *ctfleet.Fleet, base int) {
	t.Helper()
	assert.NilError(t, ctfleet.WaitUntil("control accepts a change", func() bool {
		_, err := applyConfig(fleet, writeConfig(t, fmt.Sprintf("%ds", base+1)), base, fmt.Sprintf("change-%d", base))
		return err == nil
	}))
	awaitRevision(t, fleet, revisionAfter(base))
}

// TestControlSurvives checks that control elects another leader when it loses
// its leader, that callers' writes go on meanwhile, and that changes are accepted
// once the old leader is back.
func TestControlSurvives(t *testing.T) {
	for _, failure := range []struct {
		name     string
		do, undo func(t *testing.T, fleet *ctfleet.Fleet, leader *ctfleet.Process)
	}{
		{"the kill of its leader", func(_ *testing.T, _ *ctfleet.Fleet, leader *ctfleet.Process) {
			leader.Kill()
		}, func(t *testing.T, _ *ctfleet.Fleet, leader *ctfleet.Process) {
			assert.NilError(t, leader.Start())
		}},
		{"a pause of its leader", func(_ *testing.T, _ *ctfleet.Fleet, leader *ctfleet.Process) {
			leader.Pause()
		}, func(_ *testing.T, _ *ctfleet.Fleet, leader *ctfleet.Process) {
			leader.Resume()
		}},
		{"a network partition of its leader", func(_ *testing.T, fleet *ctfleet.Fleet, leader *ctfleet.Process) {
			fleet.Network.Isolate(leader.FailureDomain, failureDomains...)
		}, func(_ *testing.T, fleet *ctfleet.Fleet, leader *ctfleet.Process) {
			fleet.Network.Rejoin(leader.FailureDomain, failureDomains...)
		}},
	} {
		t.Run(failure.name, func(t *testing.T) {
			fleet := start(t, quorumFleet())
			awaitVoters(t, fleet)
			old := leaderOf(t, fleet, nil)
			callers := startCallers(fleet, callerCount, false)
			callers.awaitMore(t, writeCount)
			failure.do(t, fleet, old)
			leaderOf(t, fleet, old)
			callers.awaitMore(t, writeCount)
			failure.undo(t, fleet, old)
			awaitVoters(t, fleet)
			callers.stopAndWait()
			assertAcceptsChange(t, fleet, 1)
			assertOutcomesMatchLog(t, callers, awaitPrimary(t, fleet, fleet.Proxies[0], nil))
		})
	}
}

// TestReturningControlChangesNothing checks that a former leader of control
// restores no outdated state. The leader is paused while another leader changes
// the configuration and promotes another primary. It still has the old state when
// it resumes, and proxies must not apply that state.
func TestReturningControlChangesNothing(t *testing.T) {
	fleet := start(t, quorumFleet())
	awaitVoters(t, fleet)
	old := leaderOf(t, fleet, nil)
	old.Pause()
	leaderOf(t, fleet, old)
	assertAcceptsChange(t, fleet, 1)
	killed := fleet.Members[group][0]
	killed.Kill()
	primary := awaitPrimary(t, fleet, fleet.Proxies[1], killed)
	mustRun(t, open(t, fleet.Proxies[1], nil), "INSERT INTO charts (key, value) VALUES ('m8', '1')")
	old.Resume()
	awaitVoters(t, fleet)
	for _, proxy := range fleet.Proxies {
		assert.Assert(t, fleet.Primary(proxy, group) == primary, "%s has another primary in its view", proxy.Name)
		view, err := fleet.View(proxy)
		assert.NilError(t, err)
		assert.Equal(t, view.Config.Revision, revisionAfter(1))
	}
	mustRun(t, open(t, fleet.Proxies[2], nil), "INSERT INTO charts (key, value) VALUES ('m9', '1')")
}

// TestLostDisks checks that control recovers from the loss of one disk at a time.
// A control process that restarts with an empty disk must become a voter in place
// of its old incarnation. Each process loses its disk once, and no accepted change
// may be missing from the history at the end.
func TestLostDisks(t *testing.T) {
	fleet := start(t, quorumFleet())
	awaitVoters(t, fleet)
	for i, lost := range fleet.Controls {
		before := statusOf(fleet, lost)
		lost.Kill()
		assert.NilError(t, os.RemoveAll(fleet.DataFolder(lost)))
		assert.NilError(t, lost.Start())
		assert.NilError(t, ctfleet.WaitUntil("the new incarnation votes in place of the old one", func() bool {
			now := statusOf(fleet, lost)
			return len(now.Voters) == len(fleet.Controls) && fmt.Sprint(now.Voters) != fmt.Sprint(before.Voters)
		}))
		awaitVoters(t, fleet)
		assertAcceptsChange(t, fleet, i+1)
	}
	output, err := fleet.RunCommand("config", "history", "--control-http", fleet.ControlHTTPAddresses())
	assert.NilError(t, err)
	for i := range fleet.Controls {
		assert.Assert(t, contains(output, fmt.Sprintf("change-%d", i+1)), output)
	}
}

// assertRejectsRemoval checks that control rejects the removal of the voter name
// and that the command's output has wantText.
func assertRejectsRemoval(t *testing.T, fleet *ctfleet.Fleet, name, wantText string) {
	t.Helper()
	output, err := fleet.RunCommand("control", "remove", name, "--control-http", fleet.ControlHTTPAddresses())
	assert.Assert(t, err != nil, output)
	assert.Assert(t, contains(output, wantText), output)
}

// TestControlRemoval checks that an operator can remove a control process that
// is gone for good. Control rejects the removal of its leader and of an unknown
// name, and accepts changes with the remaining voters.
func TestControlRemoval(t *testing.T) {
	fleet := start(t, quorumFleet())
	awaitVoters(t, fleet)
	leader, err := fleet.Leader()
	assert.NilError(t, err)
	assertRejectsRemoval(t, fleet, "stranger", "is no voter")
	assertRejectsRemoval(t, fleet, leader.Name, "leads control")
	for _, killed := range fleet.Controls {
		if killed == leader {
			continue
		}
		killed.Kill()
		output, err := fleet.RunCommand("control", "remove", killed.Name, "--control-http", leader.HTTP.String())
		assert.NilError(t, err, output)
		assert.Equal(t, len(statusOf(fleet, leader).Voters), len(fleet.Controls)-1)
		assertAcceptsChange(t, fleet, 1)
		return
	}
}
