package ctquorum_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	// seedCount is how many control processes the settings of each process name.
	seedCount = 3
	// catchUpDuration is how long after their return two lost processes count as lost. Then
	// two more may be lost.
	catchUpDuration = 6 * time.Second
	// joinRuns is how many random orders each subtest plays.
	joinRuns = 40
)

// newSixWithFollowingSeeds returns a cluster of six of which three that don't lead are the
// seeds of every process that starts from now on.
func newSixWithFollowingSeeds(seed uint64) *cluster {
	c := newSix(seed)
	for _, m := range c.processes {
		if m != c.leader() && len(c.seedNames) < seedCount {
			c.seedNames = append(c.seedNames, m.peer.Name)
		}
	}
	return c
}

// followers returns the processes that don't lead, those that are seeds first.
func (c *cluster) followers() []*process {
	var seeds, others []*process
	for _, m := range c.processes {
		switch {
		case m == c.leader():
		case slices.Contains(c.seedNames, m.peer.Name):
			seeds = append(seeds, m)
		default:
			others = append(others, m)
		}
	}
	return append(seeds, others...)
}

// assertMember checks that the process votes or is a standby that receives the leader's log.
func assertMember(t *testing.T, c *cluster, m *process) {
	t.Helper()
	assert.Assert(t, c.leader() != nil, "no leader")
	assert.Equal(t, m.node.Leader(), c.leader().peer, "%s has heard no leader", m.peer.Name)
	assertFiveVoters(t, c)
}

// assertCommits checks that a command is committed and that all running processes have
// applied it and those before.
func assertCommits(t *testing.T, c *cluster) {
	t.Helper()
	assert.Assert(t, c.leader() != nil, "no leader")
	c.lastProposal++
	propose(t, c, c.lastProposal)
	var want []string
	for id := range c.lastProposal {
		want = append(want, fmt.Sprintf("command %d", id+1))
	}
	assertApplied(t, c, want...)
}

// forEachJoinRun plays a case with joinRuns random orders.
func forEachJoinRun(t *testing.T, play func(t *testing.T, c *cluster)) {
	t.Helper()
	for seed := range uint64(joinRuns) {
		play(t, newSixWithFollowingSeeds(seed))
	}
}

// TestJoinThroughFollowingSeeds covers a control without a leader: processes that had lost
// their disks never joined again, as none of their seeds led, and the next two losses left no
// majority of the voters.
func TestJoinThroughFollowingSeeds(t *testing.T) {
	t.Run("two seeds that lost their disks join within the time to catch up", func(t *testing.T) {
		forEachJoinRun(t, func(t *testing.T, c *cluster) {
			lost := c.followers()[:maxDiskLosses]
			for _, m := range lost {
				c.loseDisk(m)
			}
			c.run(catchUpDuration)
			for _, m := range lost {
				assertMember(t, c, m)
			}
		})
	})
	t.Run("two others that lost their disks join within the time to catch up", func(t *testing.T) {
		forEachJoinRun(t, func(t *testing.T, c *cluster) {
			lost := c.followers()[seedCount:]
			for _, m := range lost {
				c.loseDisk(m)
			}
			c.run(catchUpDuration)
			for _, m := range lost {
				assertMember(t, c, m)
			}
		})
	})
	t.Run("a command is committed after each of three losses of two disks", func(t *testing.T) {
		forEachJoinRun(t, func(t *testing.T, c *cluster) {
			followers := c.followers()
			for i := range 3 {
				c.loseDisk(followers[(2*i)%len(followers)])
				c.loseDisk(followers[(2*i+1)%len(followers)])
				c.run(catchUpDuration)
				assertCommits(t, c)
			}
		})
	})
	t.Run("a process joins though the seeds are cut off from it", func(t *testing.T) {
		forEachJoinRun(t, func(t *testing.T, c *cluster) {
			lost := c.followers()[0]
			c.dropped = func(a, b ctid.Control) bool {
				return a == lost.peer.Name && slices.Contains(c.seedNames, b) ||
					b == lost.peer.Name && slices.Contains(c.seedNames, a)
			}
			c.loseDisk(lost)
			c.run(catchUpDuration)
			assertMember(t, c, lost)
		})
	})
	t.Run("two seeds that lost their disks join though the third is gone", func(t *testing.T) {
		forEachJoinRun(t, func(t *testing.T, c *cluster) {
			followers := c.followers()
			followers[2].node = nil
			c.run(settleDuration)
			for _, m := range followers[:maxDiskLosses] {
				c.loseDisk(m)
			}
			c.run(catchUpDuration)
			for _, m := range followers[:maxDiskLosses] {
				assert.Equal(t, m.node.Leader(), c.leader().peer)
			}
		})
	})
	t.Run("a process at a new address joins", func(t *testing.T) {
		forEachJoinRun(t, func(t *testing.T, c *cluster) {
			c.followers()[0].node = nil
			added := &process{peer: ctquorum.Peer{Name: "replacement", Incarnation: 2}}
			c.processes = append(c.processes, added)
			c.start(added)
			c.run(catchUpDuration)
			assertMember(t, c, added)
		})
	})
}
