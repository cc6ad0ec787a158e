package ctproof

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// assertTransactionLost opens a transaction through proxy. In the middle of the
// transaction it kills a proxy, the same or another one, which is passed as killed. It
// checks that the commit is not acknowledged and that no part of the transaction is in
// the primary's log after another write.
func assertTransactionLost(t *testing.T, fleet *ctfleet.Fleet, proxy, killed *ctfleet.Process) {
	t.Helper()
	session := open(t, proxy, nil)
	mustRun(t, session, "BEGIN")
	mustRun(t, session, "INSERT INTO tests (key, value) VALUES ('half', 'x')")
	killed.Kill()
	_, err := run(session, "COMMIT")
	assert.Assert(t, classify(err) != outcomeAcknowledged, "a transaction was committed through a killed proxy")
	assert.NilError(t, fleet.AwaitHeld())
	other := runningProxy(fleet)
	mustRun(t, open(t, other, nil), "INSERT INTO tests (key, value) VALUES ('whole', 'x')")
	primary := awaitPrimary(t, fleet, other, nil)
	entries, err := fleet.Log(primary)
	assert.NilError(t, err)
	for _, e := range entries {
		assert.Assert(t, e.Key != "half", "part of the aborted transaction is in the log")
	}
}

// TestProxyKilledInTransaction checks that no part of a transaction is committed
// when a proxy is killed in the middle of it. The members have a single slot, so the
// next transaction may use a connection on which the aborted one is still open.
func TestProxyKilledInTransaction(t *testing.T) {
	shape := smallFleet()
	shape.Proxies = 2
	shape.Slots, shape.Connections = 1, 3
	t.Run("when the caller's proxy is killed", func(t *testing.T) {
		fleet := start(t, shape)
		proxy := fleet.ProxiesAt(failureDomains[1])[0]
		assertTransactionLost(t, fleet, proxy, proxy)
	})
	t.Run("when the primary's holder is killed", func(t *testing.T) {
		fleet := start(t, shape)
		holder := holderOf(t, fleet, fleet.Members[group][0])
		assertTransactionLost(t, fleet, fleet.ProxiesAt(failureDomains[1])[0], holder)
	})
}

// TestIsolationLevel guards against statements of the proxy's own that make the member refuse
// those of the caller: an isolation level must be set before the transaction's first query.
func TestIsolationLevel(t *testing.T) {
	fleet := start(t, smallFleet())
	session := open(t, fleet.Proxies[0], nil)
	mustRun(t, session, "BEGIN")
	mustRun(t, session, "SET TRANSACTION ISOLATION LEVEL SERIALIZABLE")
	mustRun(t, session, "INSERT INTO tests (key, value) VALUES ('isolated', 'x')")
	mustRun(t, session, "COMMIT")
}

// TestUnnamedStatement guards against statements of the proxy's own that destroy the caller's
// unnamed prepared statement: a simple query does. Drivers prepare it in one request and
// execute it in the next.
func TestUnnamedStatement(t *testing.T) {
	fleet := start(t, smallFleet())
	session := open(t, fleet.Proxies[0], nil)
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	mustRun(t, session, "BEGIN")
	_, err := session.Prepare(ctx, "", "INSERT INTO tests (key, value) VALUES ($1, $2)", nil)
	assert.NilError(t, err)
	result := session.ExecPrepared(ctx, "", [][]byte{[]byte("unnamed"), []byte("x")}, nil, nil).Read()
	assert.NilError(t, result.Err)
	mustRun(t, session, "COMMIT")
}
