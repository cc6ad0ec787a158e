package ctquorum_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// learnerDuration is longer than a leader sends its log to a learner that is gone.
const learnerDuration = 11 * time.Second

// replaceVoter stops a voter until the standby has its place, and returns both.
func replaceVoter(c *cluster) (stopped, replacement *process) {
	stopped, replacement = c.voter(), c.standby()
	stopped.node = nil
	c.run(settleDuration)
	return stopped, replacement
}

// TestJoinWithOldLog covers a process that returns with a log that still names it as a voter:
// it asked the voters in that log alone, and those that follow did not name the leader.
func TestJoinWithOldLog(t *testing.T) {
	t.Run("where the voters in its log follow one that is not among them", func(t *testing.T) {
		forEachJoinRun(t, func(t *testing.T, c *cluster) {
			stopped, replacement := replaceVoter(c)
			for c.leader() != replacement {
				leader := c.leader()
				c.dropped = func(a, b ctid.Control) bool { return a == leader.peer.Name || b == leader.peer.Name }
				c.run(failoverDuration)
				c.heal()
				c.run(failoverDuration)
			}
			c.run(learnerDuration)
			c.start(stopped)
			c.run(catchUpDuration)
			assertMember(t, c, stopped)
		})
	})
	t.Run("where the voters in its log have lost their disks", func(t *testing.T) {
		forEachJoinRun(t, func(t *testing.T, c *cluster) {
			stopped, _ := replaceVoter(c)
			for _, m := range c.processes {
				if m != stopped {
					c.loseDisk(m)
					c.run(catchUpDuration)
				}
			}
			c.run(learnerDuration)
			c.start(stopped)
			c.run(catchUpDuration)
			assertMember(t, c, stopped)
		})
	})
}

// TestVoterWithoutLeader covers a voter that is alone with an old log and of which no log line said that
// it looks for a leader.
func TestVoterWithoutLeader(t *testing.T) {
	c := newSix(1)
	alone := c.voter()
	c.dropped = func(a, b ctid.Control) bool { return a == alone.peer.Name || b == alone.peer.Name }
	t.Run("only campaigns during an election timeout", func(t *testing.T) {
		c.run(ctquorum.ElectionTimeout)
		assert.Assert(t, statusOf[ctquorum.Following](t, c, alone).Votes)
		assert.Equal(t, len(alone.node.JoinAnswers()), 0)
	})
	t.Run("asks the others for the leader after that", func(t *testing.T) {
		c.run(failoverDuration)
		status := statusOf[ctquorum.Joining](t, c, alone)
		assert.Assert(t, status.Votes && status.HeardLeader)
		assert.Equal(t, len(status.Asked), sixProcesses-1)
	})
	t.Run("counts as silent at the leader, which can't reach it", func(t *testing.T) {
		c.dropped = func(_, b ctid.Control) bool { return b == alone.peer.Name }
		c.run(settleDuration)
		assert.Assert(t, !slices.Contains(c.leader().node.Voters(), alone.peer))
	})
	t.Run("asks nobody once it hears the leader", func(t *testing.T) {
		c.heal()
		c.run(settleDuration)
		assertMember(t, c, alone)
		assert.Equal(t, len(alone.node.JoinAnswers()), 0)
	})
}
