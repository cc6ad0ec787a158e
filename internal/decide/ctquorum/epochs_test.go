package ctquorum_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
)

// newDiverged returns a cluster of three voters in which one has the longest log, another one the
// highest epoch, and the third has ended. The second voted for the third, which ended before it led.
func newDiverged(seed uint64) *cluster {
	c := newCluster(seed)
	c.run(settleDuration)
	behind, ahead, gone := c.processes[0], c.processes[1], c.processes[2]
	voters := c.leader().node.Voters()
	entries := []ctquorum.Entry{{Index: 1, Epoch: 1, Voters: voters}, {Index: 2, Epoch: 2}}
	gone.node = nil
	behind.disk = ctquorum.PersistentState{Epoch: 3, VotedFor: gone.peer, Entries: entries[:1]}
	ahead.disk = ctquorum.PersistentState{Epoch: 2, VotedFor: ahead.peer, Entries: entries}
	c.packets = nil
	clear(c.firstApplied)
	clear(c.leaders)
	for _, m := range []*process{behind, ahead} {
		c.start(m)
	}
	return c
}

// TestDivergedEpochs guards against two voters, both of which are needed, that refuse each other for ever:
// the one with the longer log asked for votes in an epoch that the other had already voted in.
func TestDivergedEpochs(t *testing.T) {
	for seed := range uint64(10) {
		c := newDiverged(seed)
		c.run(failoverDuration)
		assert.Assert(t, c.leader() == c.processes[1], "seed %d: no leader", seed)
		assertNoViolations(t, c)
	}
}
