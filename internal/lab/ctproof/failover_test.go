package ctproof

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
)

// The load of the tests that inject a failure.
const (
	callerCount = 6
	writeCount  = 40
)

// TestNothingAcknowledgedIsLost checks that every acknowledged write is in the log
// of the new primary after a failover. A write is lost if it was acknowledged
// before a majority received it, or if a replica is promoted that did not receive it.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	for _, failure := range []struct {
		name string
		do   func(t *testing.T, fleet *ctfleet.Fleet)
	}{
		{"when the primary is killed", func(_ *testing.T, fleet *ctfleet.Fleet) {
			fleet.Members[group][0].Kill()
		}},
		{"when the primary is killed and one replica lags", func(t *testing.T, fleet *ctfleet.Fleet) {
			assert.NilError(t, fleet.SetFaults(fleet.Members[group][1], ctstandin.Faults{ReceiveLag: 2000}))
			// Lets the replica fall behind the other one.
			time.Sleep(300 * time.Millisecond)
			fleet.Members[group][0].Kill()
			promoted := awaitPrimary(t, fleet, fleet.Proxies[1], fleet.Members[group][0])
			assert.Equal(t, promoted.Name, fleet.Members[group][2].Name, "the replica that lags became the primary")
			assert.NilError(t, fleet.SetFaults(fleet.Members[group][1], ctstandin.Faults{}))
		}},
		{"when the primary is killed and both replicas lag", func(t *testing.T, fleet *ctfleet.Fleet) {
			for _, replica := range fleet.Members[group][1:] {
				assert.NilError(t, fleet.SetFaults(replica, ctstandin.Faults{ReceiveLag: 100}))
			}
			// Lets writes run with the lag before the primary is killed.
			time.Sleep(300 * time.Millisecond)
			fleet.Members[group][0].Kill()
		}},
		{"when the primary is paused", func(_ *testing.T, fleet *ctfleet.Fleet) {
			fleet.Members[group][0].Pause()
		}},
		{"when the primary's failure domain is isolated", func(t *testing.T, fleet *ctfleet.Fleet) {
			isolate(t, fleet)
		}},
		{"when the primary's holder is killed", func(_ *testing.T, fleet *ctfleet.Fleet) {
			fleet.Proxies[0].Kill()
			fleet.Members[group][0].Kill()
		}},
	} {
		t.Run(failure.name, func(t *testing.T) {
			fleet := start(t, controlOutsideFirstDomain())
			callers := startCallers(fleet, callerCount, true)
			callers.awaitMore(t, writeCount)
			failure.do(t, fleet)
			primary := awaitPrimary(t, fleet, fleet.Proxies[1], fleet.Members[group][0])
			callers.awaitMore(t, writeCount)
			callers.stopAndWait()
			assertOutcomesMatchLog(t, callers, primary)
		})
	}
}

// isolate separates the first failure domain, which has the first primary, from
// the others. It cuts the network of the domain's processes and the replication
// of its member.
func isolate(t *testing.T, fleet *ctfleet.Fleet) {
	t.Helper()
	fleet.Network.Isolate(failureDomains[0], failureDomains...)
	assert.NilError(t, fleet.SetFaults(fleet.Members[group][0], ctstandin.Faults{Isolated: true}))
}

// rejoin undoes isolate.
func rejoin(t *testing.T, fleet *ctfleet.Fleet) {
	t.Helper()
	fleet.Network.Rejoin(failureDomains[0], failureDomains...)
	assert.NilError(t, fleet.SetFaults(fleet.Members[group][0], ctstandin.Faults{}))
}

// TestNoAcknowledgementByReplacedPrimary checks that a primary acknowledges no
// write after its replacement. A primary that is isolated, or whose holder is
// paused until its lease has expired, does not know that it was replaced. A write
// that it acknowledged would be missing from the new primary's log.
func TestNoAcknowledgementByReplacedPrimary(t *testing.T) {
	t.Run("isolated with its callers", func(t *testing.T) {
		fleet := start(t, controlOutsideFirstDomain())
		callers := startCallers(fleet, callerCount, false)
		callers.awaitMore(t, writeCount)
		isolate(t, fleet)
		primary := awaitPrimary(t, fleet, fleet.Proxies[1], fleet.Members[group][0])
		isolated := open(t, fleet.Proxies[0], nil)
		_, err := run(isolated, "INSERT INTO tests (key, value) VALUES ('cut-off', 'x')")
		assert.Assert(t, classify(err) != outcomeAcknowledged, "a replaced primary acknowledged a write")
		callers.awaitMore(t, writeCount)
		callers.stopAndWait()
		rejoin(t, fleet)
		assert.NilError(t, fleet.AwaitReady())
		assertOutcomesMatchLog(t, callers, primary)
	})
	t.Run("whose holder was paused beyond its lease", func(t *testing.T) {
		fleet := start(t, controlOutsideFirstDomain())
		callers := startCallers(fleet, callerCount, false)
		callers.awaitMore(t, writeCount)
		fleet.Proxies[0].Pause()
		fleet.Members[group][0].Pause()
		primary := awaitPrimary(t, fleet, fleet.Proxies[1], fleet.Members[group][0])
		callers.awaitMore(t, writeCount)
		fleet.Members[group][0].Resume()
		fleet.Proxies[0].Resume()
		callers.awaitMore(t, writeCount)
		callers.stopAndWait()
		assertOutcomesMatchLog(t, callers, primary)
	})
}

// controlOutsideFirstDomain is a fleet whose control process is in the second
// failure domain. The first failure domain has the first primary.
func controlOutsideFirstDomain() ctfleet.Shape {
	shape := smallFleet()
	shape.ControlFailureDomains = failureDomains[1:2]
	return shape
}

// primaryReadsConfig sends plain SELECTs to the primary, unless the session states
// otherwise.
const primaryReadsConfig = `
defaults:
  reads:
    plain_selects: primary
groups:
  - name: fit-registry
    size: 3
`

// TestReplacedPrimaryServesNoRead checks that a read for the primary never
// returns rows of a replaced primary. An isolated primary still has its old rows,
// and its proxy doesn't know of the new primary, so the read must fail as not run.
func TestReplacedPrimaryServesNoRead(t *testing.T) {
	shape := controlOutsideFirstDomain()
	shape.Config = primaryReadsConfig
	fleet := start(t, shape)
	mustRun(t, open(t, fleet.Proxies[0], nil), "INSERT INTO charts (key, value) VALUES ('m8', 'old')")
	assertReads(t, fleet.Proxies[0], nil, "old")
	isolate(t, fleet)
	awaitPrimary(t, fleet, fleet.Proxies[1], fleet.Members[group][0])
	mustRun(t, open(t, fleet.Proxies[1], nil), "UPDATE charts SET value = 'new' WHERE key = 'm8'")
	values, err := run(open(t, fleet.Proxies[0], nil), selectM8)
	assert.Equal(t, classify(err), outcomeNotRun, "%v", values)
	rejoin(t, fleet)
	assert.NilError(t, fleet.AwaitReady())
	assertReads(t, fleet.Proxies[0], nil, "new")
}

// TestNoPromotionWithoutMajority checks that control promotes no member when only
// one of three answers. That member may lack acknowledged writes, so its promotion
// could lose them. Control states the reason, writes fail as not run, and reads go
// on.
func TestNoPromotionWithoutMajority(t *testing.T) {
	fleet := start(t, smallFleet())
	mustRun(t, open(t, fleet.Proxies[1], nil), "INSERT INTO charts (key, value) VALUES ('m8', '21.5')")
	fleet.Members[group][1].Kill()
	fleet.Members[group][0].Kill()
	assert.NilError(t, ctfleet.WaitUntil("control reports why it promotes no member", func() bool {
		output, err := fleet.RunCommand("status", "--control-http", fleet.ControlHTTPAddresses())
		return err == nil && contains(output, "fewer_members_than_a_majority_answer")
	}))
	_, err := run(open(t, fleet.Proxies[2], nil), "INSERT INTO charts (key, value) VALUES ('m9', '22')")
	assert.Equal(t, classify(err), outcomeNotRun)
	assertReads(t, fleet.Proxies[2], nil, "21.5")
}

// TestReturningPrimaryFollows checks that an isolated primary becomes a replica of
// the new primary when it is reachable again. Its log may end with writes that
// were never acknowledged. It must drop them and receive the writes that were
// acknowledged meanwhile.
func TestReturningPrimaryFollows(t *testing.T) {
	fleet := start(t, controlOutsideFirstDomain())
	callers := startCallers(fleet, callerCount, true)
	callers.awaitMore(t, writeCount)
	isolate(t, fleet)
	primary := awaitPrimary(t, fleet, fleet.Proxies[1], fleet.Members[group][0])
	callers.awaitMore(t, writeCount)
	rejoin(t, fleet)
	callers.stopAndWait()
	assert.NilError(t, fleet.AwaitReady())
	assertOutcomesMatchLog(t, callers, primary)
	assertOutcomesMatchLog(t, callers, fleet.Members[group][0])
}

// TestRequestsWaitForFailover checks that a write that is sent while the group has
// no primary either waits for the new primary or fails as not run. One write must
// be acknowledged before callTimeout ends.
func TestRequestsWaitForFailover(t *testing.T) {
	fleet := start(t, smallFleet())
	fleet.Members[group][0].Kill()
	session := open(t, fleet.Proxies[1], nil)
	deadline := time.Now().Add(callTimeout)
	for time.Now().Before(deadline) {
		_, err := run(session, "INSERT INTO tests (key, value) VALUES ('waited', 'x')")
		if err == nil {
			return
		}
		assert.Equal(t, classify(err), outcomeNotRun)
	}
	t.Fatal("no write was acknowledged after the failover")
}
