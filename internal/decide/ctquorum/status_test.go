package ctquorum_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// statusOf returns the status of a process, which must have the given type.
func statusOf[S ctquorum.Status](t *testing.T, c *cluster, m *process) S {
	t.Helper()
	status := m.node.Status(c.now)
	s, ok := status.(S)
	assert.Assert(t, ok, "%T", status)
	return s
}

// newFive returns a cluster of five voters without a standby.
func newFive() *cluster {
	c := newClusterOf(1, fiveVoters, fiveVoters)
	c.run(settleDuration)
	return c
}

// everSeen reports whether a voter satisfies a condition at any moment of the next second.
func everSeen(t *testing.T, c *cluster, condition func(v ctquorum.PeerStatus) bool) bool {
	t.Helper()
	seen := false
	for range int(time.Second / tickStep) {
		c.run(tickStep)
		seen = seen || slices.ContainsFunc(statusOf[ctquorum.Leading](t, c, c.leader()).Voters, condition)
	}
	return seen
}

// assertMargin checks what the leader says of its voters.
func assertMargin(t *testing.T, c *cluster, want string) {
	t.Helper()
	assert.Equal(t, statusOf[ctquorum.Leading](t, c, c.leader()).Margin().String(), want)
}

// TestStatus guards against lost voters and pending joins that nobody sees.
func TestStatus(t *testing.T) {
	t.Run("a leader knows its voters and its learners", func(t *testing.T) {
		c := newSix(1)
		status := statusOf[ctquorum.Leading](t, c, c.leader())
		assert.Assert(t, status.Ready)
		assert.Equal(t, len(status.Voters), 5)
		assert.Equal(t, len(status.Learners), 1)
		assert.Equal(t, status.Learners[0].Behind, ctquorum.Index(0))
		assert.Assert(t, !status.Margin().AtRisk())
	})
	t.Run("silent voters are lost", func(t *testing.T) {
		c := newFive()
		for _, m := range c.followers()[:maxDiskLosses] {
			m.node = nil
		}
		c.run(2 * time.Second)
		assertMargin(t, c, "0 of 5 voters lost, 3 more losses stop control")
		c.run(2 * time.Second)
		assertMargin(t, c, "2 of 5 voters lost, one more loss stops control")
		assert.Assert(t, statusOf[ctquorum.Leading](t, c, c.leader()).Margin().AtRisk())
	})
	t.Run("a voter is lost when its name has joined with another disk", func(t *testing.T) {
		c := newFive()
		lost := c.followers()[0]
		earlier := lost.peer
		c.loseDisk(lost)
		assert.Assert(t, everSeen(t, c, func(v ctquorum.PeerStatus) bool {
			return v.Peer == earlier && v.Loss == ctquorum.LossReplaced
		}))
		assertMargin(t, c, "0 of 5 voters lost, 3 more losses stop control")
	})
	t.Run("a process without a leader is joining", func(t *testing.T) {
		c := newSixWithFollowingSeeds(1)
		lost := c.followers()[seedCount]
		c.dropped = func(a, b ctid.Control) bool { return a == lost.peer.Name || b == lost.peer.Name }
		started := c.now
		c.loseDisk(lost)
		c.run(time.Second)
		status := statusOf[ctquorum.Joining](t, c, lost)
		assert.Equal(t, status.Since, started)
		assert.Assert(t, !status.HeardLeader)
		assert.DeepEqual(t, status.Asked, c.seedNames)
	})
}
