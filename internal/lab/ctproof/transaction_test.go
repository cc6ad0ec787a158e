package ctproof

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// assertTransactionLost kills a proxy in the middle of a transaction through entry
// and checks that nothing of the transaction is ever in the primary's log.
func assertTransactionLost(t *testing.T, fleet *ctfleet.Fleet, proxy, killed *ctfleet.Process) {
	t.Helper()
	session := open(t, proxy, nil)
	mustRun(t, session, "BEGIN")
	mustRun(t, session, "INSERT INTO tests (key, value) VALUES ('half', 'x')")
	killed.Kill()
	_, err := run(session, "COMMIT")
	assert.Assert(t, classify(err) != outcomeAcknowledged, "a transaction was committed through a proxy that is gone")
	assert.NilError(t, fleet.AwaitHeld())
	other := runningProxy(fleet)
	mustRun(t, open(t, other, nil), "INSERT INTO tests (key, value) VALUES ('whole', 'x')")
	primary := awaitPrimary(t, fleet, other, nil)
	entries, err := fleet.Log(primary)
	assert.NilError(t, err)
	for _, e := range entries {
		assert.Assert(t, e.Key != "half", "a part of the transaction lasts")
	}
}

// TestProxyKilledInTransaction checks that a transaction leaves nothing, to its
// caller or to the next one on its connection, when a proxy dies in its middle.
func TestProxyKilledInTransaction(t *testing.T) {
	shape := smallFleet()
	shape.Proxies = 2
	shape.Slots, shape.Connections = 1, 3
	t.Run("the caller's own", func(t *testing.T) {
		fleet := start(t, shape)
		proxy := fleet.ProxiesAt(sites[1])[0]
		assertTransactionLost(t, fleet, proxy, proxy)
	})
	t.Run("the holder of the primary", func(t *testing.T) {
		fleet := start(t, shape)
		holder := holderOf(t, fleet, fleet.Members[group][0])
		assertTransactionLost(t, fleet, fleet.ProxiesAt(sites[1])[0], holder)
	})
}
