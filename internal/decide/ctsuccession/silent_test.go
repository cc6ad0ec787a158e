package ctsuccession_test

import (
	"testing"
	"time"
)

// TestSilentReplicaLosesCommits covers acknowledged writes that only a replica held that
// control had not heard for a while: the other replica was promoted without them.
func TestSilentReplicaLosesCommits(t *testing.T) {
	// begin loses the primary a while after the replica b fell silent. The proxies have
	// restarted, so that nobody can report what was acknowledged.
	begin := func(silent time.Duration) *environment {
		e := newEnvironment()
		e.members["b"].unresponsive = true
		e.run(silent)
		e.losePrimary()
		e.incarnation++
		return e
	}
	for _, silent := range []time.Duration{5 * time.Second, 11 * time.Second, 40 * time.Second} {
		t.Run("silent for "+silent.String(), func(t *testing.T) {
			e := begin(silent)
			e.run(15 * time.Second)
			assertNoRequest(t, e)
		})
	}
	t.Run("under a leader that never heard it", func(t *testing.T) {
		e := begin(15 * time.Second)
		e.changeLeader()
		e.run(15 * time.Second)
		assertNoRequest(t, e)
	})
	t.Run("until it is heard again", func(t *testing.T) {
		e := begin(15 * time.Second)
		e.run(5 * time.Second)
		e.members["b"].unresponsive = false
		e.run(5 * time.Second)
		assertPrimary(t, e, "b", 2)
	})
	t.Run("though it is gone, as the primary may come back", func(t *testing.T) {
		e := begin(15 * time.Second)
		e.run(5 * time.Second)
		e.machine.DeregisterMember(e.now, "b")
		e.run(15 * time.Second)
		assertNoRequest(t, e)
	})
	t.Run("until an operator says that it and the primary are gone", func(t *testing.T) {
		e := begin(15 * time.Second)
		e.run(5 * time.Second)
		e.machine.DeregisterMember(e.now, "b")
		e.machine.DeregisterMember(e.now, "a")
		e.run(15 * time.Second)
		assertPrimary(t, e, "c", 2)
	})
}
