package ctsuccession_test

import (
	"testing"
	"time"
)

// TestLostReplicaLogLosesCommits covers callers whose acknowledged writes were gone: the only
// replica that held them had lost its log, and the other one was promoted as the one that
// has received most.
func TestLostReplicaLogLosesCommits(t *testing.T) {
	// begin lets only b receive the last acknowledged commit.
	begin := func() *environment {
		e := newEnvironment()
		e.members["a"].status.Received = point(101)
		e.members["b"].status.Received = point(101)
		e.run(3 * time.Second)
		return e
	}
	// assertWaits loses the primary and asserts that nobody is promoted. The proxies have
	// restarted, so that nobody can report what was acknowledged.
	assertWaits := func(t *testing.T, e *environment) {
		t.Helper()
		e.losePrimary()
		e.incarnation++
		e.run(15 * time.Second)
		assertNoRequest(t, e)
	}
	t.Run("started again under its id", func(t *testing.T) {
		e := begin()
		e.restartEmpty("b")
		e.run(time.Second)
		assertWaits(t, e)
	})
	t.Run("deregistered 11 s ago", func(t *testing.T) {
		e := begin()
		delete(e.members, "b")
		e.machine.DeregisterMember(e.now, "b")
		e.run(11 * time.Second)
		assertWaits(t, e)
	})
}
