package ctproof

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
)

// The load of the proofs under failure.
const (
	callerCount = 6
	writeCount  = 40
)

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
			time.Sleep(300 * time.Millisecond)
			fleet.Members[group][0].Kill()
		}},
		{"when the primary is frozen", func(_ *testing.T, fleet *ctfleet.Fleet) {
			fleet.Members[group][0].Pause()
		}},
		{"when the primary's failure domain is cut off", func(t *testing.T, fleet *ctfleet.Fleet) {
			isolate(t, fleet)
		}},
		{"when the primary's holder is killed", func(_ *testing.T, fleet *ctfleet.Fleet) {
			fleet.Proxies[0].Kill()
			fleet.Members[group][0].Kill()
		}},
	} {
		t.Run(failure.name, func(t *testing.T) {
			fleet := start(t, controlOutsideFirstSite())
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

// isolate cuts the first failure domain, where the primary begins, off from the
// others: its processes, and its member's replication.
func isolate(t *testing.T, fleet *ctfleet.Fleet) {
	t.Helper()
	fleet.Network.Isolate(sites[0], sites...)
	assert.NilError(t, fleet.SetFaults(fleet.Members[group][0], ctstandin.Faults{Isolated: true}))
}

// rejoin ends an isolate.
func rejoin(t *testing.T, fleet *ctfleet.Fleet) {
	t.Helper()
	fleet.Network.Rejoin(sites[0], sites...)
	assert.NilError(t, fleet.SetFaults(fleet.Members[group][0], ctstandin.Faults{}))
}

func TestNoAcknowledgementByReplacedPrimary(t *testing.T) {
	t.Run("cut off with its callers", func(t *testing.T) {
		fleet := start(t, controlOutsideFirstSite())
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
	t.Run("whose holder was frozen past the lease", func(t *testing.T) {
		fleet := start(t, controlOutsideFirstSite())
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

// controlOutsideFirstSite is a fleet whose control is not in the first failure domain,
// where the primary begins.
func controlOutsideFirstSite() ctfleet.Shape {
	shape := smallFleet()
	shape.ControlSites = sites[1:2]
	return shape
}

// primaryReadsConfig sends all reads of sessions that declare nothing to the primary.
const primaryReadsConfig = `
defaults:
  reads:
    plain_selects: primary
groups:
  - name: fit-registry
    size: 3
`

// TestReplacedPrimaryServesNoRead checks that a primary that was cut off and
// replaced shows nobody its old rows as the primary's.
func TestReplacedPrimaryServesNoRead(t *testing.T) {
	shape := controlOutsideFirstSite()
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

func TestNoPromotionWithoutMajority(t *testing.T) {
	fleet := start(t, smallFleet())
	mustRun(t, open(t, fleet.Proxies[1], nil), "INSERT INTO charts (key, value) VALUES ('m8', '21.5')")
	fleet.Members[group][1].Kill()
	fleet.Members[group][0].Kill()
	assert.NilError(t, ctfleet.WaitUntil("control says why it promotes nobody", func() bool {
		output, err := fleet.RunCommand("status", "--control-http", fleet.ControlHTTPAddresses())
		return err == nil && contains(output, "fewer_members_than_a_majority_answer")
	}))
	_, err := run(open(t, fleet.Proxies[2], nil), "INSERT INTO charts (key, value) VALUES ('m9', '22')")
	assert.Equal(t, classify(err), outcomeNotRun)
	assertReads(t, fleet.Proxies[2], nil, "21.5")
}

func TestReturningPrimaryFollows(t *testing.T) {
	fleet := start(t, controlOutsideFirstSite())
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
