package ctproof

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
)

// laggingFleet is a fleet whose replicas apply the log 400 ms late.
func laggingFleet() ctfleet.Shape {
	shape := smallFleet()
	shape.ApplyLag = 400 * time.Millisecond
	return shape
}

// assertReads checks that a new session through the proxy reads the values want
// under the key m8.
func assertReads(t *testing.T, proxy *ctfleet.Process, parameters startupParameters, want ...string) {
	t.Helper()
	assert.DeepEqual(t, mustRun(t, open(t, proxy, parameters), selectM8), want)
}

const selectM8 = "SELECT value FROM charts WHERE key = 'm8'"

// TestReadYourWrites checks that a session reads its own writes, also when it moves
// to another proxy with its token. Replicas apply the log late, so a replica that is
// chosen without regard to the session's position returns rows from before the write.
func TestReadYourWrites(t *testing.T) {
	t.Run("in the session, over lagging replicas", func(t *testing.T) {
		fleet := start(t, laggingFleet())
		session := open(t, fleet.Proxies[0], nil)
		for _, value := range []string{"1", "2", "3"} {
			mustRun(t, session, "DELETE FROM charts WHERE key = 'm8'")
			mustRun(t, session, "INSERT INTO charts (key, value) VALUES ('m8', '"+value+"')")
			assert.DeepEqual(t, mustRun(t, session, selectM8), []string{value})
		}
	})
	t.Run("after a move to every other proxy", func(t *testing.T) {
		fleet := start(t, laggingFleet())
		session := open(t, fleet.Proxies[0], nil)
		mustRun(t, session, "INSERT INTO charts (key, value) VALUES ('m8', '21.5')")
		for _, proxy := range fleet.Proxies {
			assertReads(t, proxy, startupParameters{"cherviltrestle.token": tokenOf(session)}, "21.5")
		}
	})
	t.Run("after the first proxy was killed", func(t *testing.T) {
		fleet := start(t, laggingFleet())
		session := open(t, fleet.Proxies[1], nil)
		mustRun(t, session, "INSERT INTO charts (key, value) VALUES ('m8', '21.5')")
		fleet.Proxies[1].Kill()
		assertReads(t, fleet.Proxies[2], startupParameters{"cherviltrestle.token": tokenOf(session)}, "21.5")
	})
	t.Run("after a failover", func(t *testing.T) {
		fleet := start(t, laggingFleet())
		session := open(t, fleet.Proxies[1], nil)
		mustRun(t, session, "INSERT INTO charts (key, value) VALUES ('m8', '21.5')")
		old := fleet.Members[group][0]
		old.Kill()
		awaitPrimary(t, fleet, fleet.Proxies[2], old)
		assertReads(t, fleet.Proxies[2], startupParameters{"cherviltrestle.token": tokenOf(session)}, "21.5")
	})
}

// TestTokens checks that a proxy rejects a session token that it can't verify. If it
// ignored the token, the session could read rows older than its own writes.
func TestTokens(t *testing.T) {
	fleet := start(t, smallFleet())
	for _, rejected := range []struct{ name, token string }{
		{"that can't be decoded", "x"},
		{"with another seal", "AQAAAAAAAAABAAAAAAAAAIC962S1n2K2r3gliRZ353TQ"},
	} {
		t.Run("rejects a token "+rejected.name, func(t *testing.T) {
			_, err := dial(fleet.Proxies[0], startupParameters{"cherviltrestle.token": rejected.token})
			assert.ErrorContains(t, err, "session token")
		})
	}
}

// TestMaxAge checks that a session never reads data older than its maximum age, and
// that it may read from a lagging replica within that age. A replica that applies
// nothing any more still answers reads, with old rows.
func TestMaxAge(t *testing.T) {
	t.Run("a stalled replica serves no read with a short maximum age", func(t *testing.T) {
		fleet := start(t, smallFleet())
		writer := open(t, fleet.Proxies[0], nil)
		mustRun(t, writer, "INSERT INTO charts (key, value) VALUES ('m8', 'old')")
		assert.NilError(t, fleet.AwaitReady())
		for _, replica := range fleet.Members[group][1:] {
			assert.NilError(t, fleet.SetFaults(replica, ctstandin.Faults{ApplyLag: 3_600_000}))
		}
		mustRun(t, writer, "UPDATE charts SET value = 'new' WHERE key = 'm8'")
		time.Sleep(300 * time.Millisecond)
		assertReads(t, fleet.Proxies[1], startupParameters{"cherviltrestle.max_age": "200ms"}, "new")
	})
	t.Run("a lagging replica serves a read with a long maximum age", func(t *testing.T) {
		fleet := start(t, smallFleet())
		writer := open(t, fleet.Proxies[0], nil)
		mustRun(t, writer, "INSERT INTO charts (key, value) VALUES ('m8', 'old')")
		assert.NilError(t, fleet.AwaitReady())
		for _, replica := range fleet.Members[group][1:] {
			assert.NilError(t, fleet.SetFaults(replica, ctstandin.Faults{ApplyLag: 3_600_000}))
		}
		mustRun(t, writer, "UPDATE charts SET value = 'new' WHERE key = 'm8'")
		assertReads(t, fleet.Proxies[1], startupParameters{"cherviltrestle.max_age": "1h"}, "old")
	})
}
