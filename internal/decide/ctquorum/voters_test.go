package ctquorum_test

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// A cluster of six processes, of which five vote, bears the loss of two disks at once.
const (
	sixProcesses  = 6
	fiveVoters    = 5
	maxDiskLosses = 2
)

// failoverDuration is long enough for the election of a new leader.
const failoverDuration = 2 * time.Second

func newSix(seed uint64) *cluster {
	c := newClusterOf(seed, sixProcesses, fiveVoters)
	c.run(settleDuration)
	return c
}

// cutInto drops the messages between the processes whose bits are set in half and the
// others.
func (c *cluster) cutInto(half uint) {
	inHalf := make(map[ctid.Control]bool)
	for i, m := range c.processes {
		inHalf[m.peer.Name] = half&(1<<i) != 0
	}
	c.dropped = func(a, b ctid.Control) bool { return inHalf[a] != inHalf[b] }
}

// heal ends all cuts.
func (c *cluster) heal() {
	c.dropped = func(_, _ ctid.Control) bool { return false }
}

// assertFiveVoters checks that the leader's log names five voters, each process at most
// once.
func assertFiveVoters(t *testing.T, c *cluster) {
	t.Helper()
	assert.Assert(t, c.leader() != nil, "no leader")
	voters := c.leader().node.Voters()
	assert.Equal(t, len(voters), fiveVoters, "%v", voters)
	names := make(map[ctid.Control]bool)
	for _, v := range voters {
		names[v.Name] = true
	}
	assert.Equal(t, len(names), fiveVoters, "%v", voters)
	assertNoViolations(t, c)
}

// voter returns a voter that does not lead, and standby a process that does not vote.
func (c *cluster) voter() *process   { return c.findFollower(true) }
func (c *cluster) standby() *process { return c.findFollower(false) }

func (c *cluster) findFollower(votes bool) *process {
	leader := c.leader()
	for _, m := range c.processes {
		if m != leader && slices.Contains(leader.node.Voters(), m.peer) == votes {
			return m
		}
	}
	return nil
}

// TestVoterCount covers the loss of all service while six control processes were cut into
// two halves: six voters have no majority in either half, five have.
func TestVoterCount(t *testing.T) {
	t.Run("six processes keep five voters and a standby", func(t *testing.T) {
		c := newSix(1)
		assertFiveVoters(t, c)
		propose(t, c, 1)
		assertApplied(t, c, "command 1")
	})
	t.Run("a cut into any two halves leaves a leader", func(t *testing.T) {
		c := newSix(2)
		for half := range uint(1 << sixProcesses) {
			if bits.OnesCount(half) != sixProcesses/2 {
				continue
			}
			c.cutInto(half)
			c.run(failoverDuration)
			assert.Assert(t, c.leader() != nil, "no leader while %06b is cut off", half)
			propose(t, c, ctquorum.ProposalID(half))
			c.heal()
			c.run(failoverDuration)
		}
		assertFiveVoters(t, c)
	})
	t.Run("a standby takes the place of a voter that is gone", func(t *testing.T) {
		c := newSix(3)
		lost, standby := c.voter(), c.standby()
		lost.node = nil
		c.run(settleDuration)
		assertFiveVoters(t, c)
		assert.Assert(t, slices.Contains(c.leader().node.Voters(), standby.peer))
	})
	t.Run("a voter that returns after that is the standby", func(t *testing.T) {
		c := newSix(4)
		lost := c.voter()
		lost.node = nil
		c.run(settleDuration)
		c.start(lost)
		c.run(settleDuration)
		assertFiveVoters(t, c)
		propose(t, c, 1)
		assertApplied(t, c, "command 1")
	})
	t.Run("a voter that is silent for a moment keeps its place", func(t *testing.T) {
		c := newSix(5)
		silent := c.voter()
		c.dropped = func(a, b ctid.Control) bool { return a == silent.peer.Name || b == silent.peer.Name }
		c.run(time.Second)
		c.heal()
		c.run(settleDuration)
		assert.Assert(t, slices.Contains(c.leader().node.Voters(), silent.peer))
	})
	t.Run("a voter that lost its disk takes its own place again", func(t *testing.T) {
		c := newSix(6)
		standby, lost := c.standby(), c.voter()
		c.loseDisk(lost)
		c.run(settleDuration)
		assertFiveVoters(t, c)
		assert.Assert(t, !slices.Contains(c.leader().node.Voters(), standby.peer))
	})
	t.Run("a standby finds the leader though all its seeds are gone", func(t *testing.T) {
		c := newSix(7)
		standby := c.standby()
		c.start(standby)
		standby.node.SetSeeds([]ctquorum.Peer{{Name: "gone"}})
		c.voter().node = nil
		c.run(settleDuration)
		assert.Assert(t, slices.Contains(c.leader().node.Voters(), standby.peer))
	})
}

// committedNow returns the commands that the leader has applied, with all in its snapshot.
func committedNow(c *cluster) []string {
	return c.leader().applied
}

// TestLostDisksKeepCommands checks that no committed command is lost where at most two
// disks are lost at once, while the processes are cut into halves, killed, and replaced by
// the standby.
func TestLostDisksKeepCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClusterOf(rapid.Uint64().Draw(t, "seed"), sixProcesses, fiveVoters)
		c.run(settleDuration)
		if rapid.Bool().Draw(t, "few seeds") {
			firstSeed := rapid.IntRange(0, sixProcesses-1).Draw(t, "first seed")
			for i := range seedCount {
				c.seedNames = append(c.seedNames, c.processes[(firstSeed+i)%sixProcesses].peer.Name)
			}
		}
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			c.proposeSome(rapid.IntRange(1, 4).Draw(t, "commands"))
			if rapid.Bool().Draw(t, "cut") {
				c.cutInto(uint(rapid.IntRange(0, 1<<sixProcesses-1).Draw(t, "half")))
				c.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "cut for")) * time.Millisecond)
				c.proposeSome(1)
				c.heal()
			}
			first := rapid.IntRange(0, sixProcesses-1).Draw(t, "first")
			for i := range rapid.IntRange(0, maxDiskLosses).Draw(t, "disks") {
				c.loseDisk(c.processes[(first+i)%sixProcesses])
			}
			if rapid.Bool().Draw(t, "restart") {
				c.start(c.processes[(first+maxDiskLosses)%sixProcesses])
			}
			c.run(settleDuration)
			if c.leader() == nil {
				t.Fatalf("no leader after the losses")
			}
			for _, command := range c.committed {
				if !slices.Contains(committedNow(c), command) {
					t.Fatalf("command %s is lost", command)
				}
			}
			if len(c.violations) > 0 {
				t.Fatalf("%v", c.violations)
			}
		}
	})
}

// proposeSome proposes commands at the leader, if there is one, and lets some time pass
// after each.
func (c *cluster) proposeSome(count int) {
	for range count {
		if leader := c.leader(); leader != nil {
			c.lastProposal++
			c.step(leader, ctquorum.Propose{ID: c.lastProposal, Data: []byte(fmt.Sprint(c.lastProposal))})
		}
		c.run(tickStep)
	}
}
