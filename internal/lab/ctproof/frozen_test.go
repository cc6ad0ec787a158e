package ctproof

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFrozenMember checks that no caller waits forever for a paused member. The
// member's connections stay open but nothing answers on them, so the current
// request must end with an outcome or be served by another member.
func TestFrozenMember(t *testing.T) {
	t.Run("a write on a paused primary ends with an unknown outcome", func(t *testing.T) {
		fleet := start(t, controlOutsideFirstDomain())
		session := open(t, fleet.Proxies[1], nil)
		mustRun(t, session, "INSERT INTO charts (key, value) VALUES ('m8', '1')")
		mustRun(t, session, "BEGIN")
		fleet.Members[group][0].Pause()
		_, err := run(session, "INSERT INTO charts (key, value) VALUES ('m9', '1')")
		assert.ErrorContains(t, err, "unknown")
		awaitPrimary(t, fleet, fleet.Proxies[1], fleet.Members[group][0])
	})
	t.Run("a read on a paused replica is answered by another member", func(t *testing.T) {
		fleet := start(t, smallFleet())
		session := open(t, fleet.Proxies[1], nil)
		mustRun(t, session, "INSERT INTO charts (key, value) VALUES ('m8', '1')")
		assert.NilError(t, fleet.AwaitReady())
		fleet.Members[group][1].Pause()
		assert.DeepEqual(t, mustRun(t, session, selectM8), []string{"1"})
	})
}
