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

// TestDistantLearner covers a process that never became a voter again: under steady commands its
// answers arrived after the next command was committed.
func TestDistantLearner(t *testing.T) {
	for _, distance := range []time.Duration{tickStep, 3 * tickStep, 5 * tickStep} {
		t.Run(fmt.Sprintf("votes again at a distance of %v", distance), func(t *testing.T) {
			c := newSix(1)
			lost := c.voter()
			c.loseDisk(lost)
			c.delay = func(a, b ctid.Control) time.Duration {
				if a == lost.peer.Name || b == lost.peer.Name {
					return distance
				}
				return 0
			}
			for until := c.now.Add(catchUpDuration); c.now.Before(until); {
				c.proposeSome(1)
			}
			assertFiveVoters(t, c)
			assert.Assert(t, slices.Contains(c.leader().node.Voters(), lost.peer))
		})
	}
	t.Run("does not vote if it stopped answering before it had caught up", func(t *testing.T) {
		c := newSix(2)
		lost := c.voter()
		c.loseDisk(lost)
		c.dropped = func(a, b ctid.Control) bool { return a == lost.peer.Name && len(lost.disk.Entries) > 0 }
		c.proposeSome(int(catchUpDuration / tickStep))
		assert.Assert(t, !slices.Contains(c.leader().node.Voters(), lost.peer))
	})
}

// TestRemovedVoterThatIsGone guards against a voter that is removed because it is gone and at once added
// again, as its last answer came just before.
func TestRemovedVoterThatIsGone(t *testing.T) {
	c := newCluster(1)
	c.run(settleDuration)
	gone := c.followers()[0]
	gone.node = nil
	c.step(c.leader(), ctquorum.RemoveVoter{ID: 1, Peer: gone.peer})
	c.run(time.Second)
	assert.Equal(t, len(c.leader().node.Voters()), clusterSize-1)
	assertNoViolations(t, c)
}
