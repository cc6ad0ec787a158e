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

// loseDiskAs restarts a process with an empty disk and the given incarnation.
func (c *cluster) loseDiskAs(m *process, incarnation ctid.Incarnation) {
	m.peer.Incarnation = incarnation - 1
	c.loseDisk(m)
}

// maxDeliveries is more than the messages between two ticks need.
const maxDeliveries = 10_000

// runBounded is run for processes that may send each other messages without end.
func (c *cluster) runBounded(t *testing.T, d time.Duration) {
	t.Helper()
	for until := c.now.Add(d); c.now.Before(until); {
		c.now = c.now.Add(tickStep)
		for _, m := range c.processes {
			c.step(m, ctquorum.Tick{})
		}
		for count := 0; len(c.packets) > 0; count++ {
			assert.Assert(t, count < maxDeliveries, "messages without end")
			c.deliver(0)
		}
	}
}

// TestLostDiskBehindClock guards against a lost voter that keeps its vote for good: its process came
// back with an empty disk and a clock that had been set back, so that its incarnation is the lower.
func TestLostDiskBehindClock(t *testing.T) {
	const ahead, behind ctid.Incarnation = 100, 50
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newSix(seed)
			lost := c.voter()
			c.loseDiskAs(lost, ahead)
			c.run(settleDuration)
			assertFiveVoters(t, c)
			earlier := lost.peer
			c.loseDiskAs(lost, behind)
			c.runBounded(t, settleDuration)
			assertFiveVoters(t, c)
			voters := c.leader().node.Voters()
			assert.Assert(t, !slices.Contains(voters, earlier) && slices.Contains(voters, lost.peer), "%v", voters)
			before := c.leader().node.AppliedIndex()
			c.run(settleDuration)
			assert.Equal(t, c.leader().node.AppliedIndex(), before, "the voters change again and again")
			for range maxDiskLosses {
				c.voter().node = nil
			}
			c.run(failoverDuration)
			propose(t, c, ctquorum.ProposalID(1))
			assert.Assert(t, c.leader() != nil, "no leader after the loss of two voters")
		})
	}
}

// TestLostDiskBehindClockWithoutStandby guards against a process that never votes again after a clock was
// set back, because the lost voter of its name has the higher number.
func TestLostDiskBehindClockWithoutStandby(t *testing.T) {
	const ahead, behind ctid.Incarnation = 100, 50
	c := newFive()
	lost := c.followers()[0]
	c.loseDiskAs(lost, ahead)
	c.run(settleDuration)
	c.loseDiskAs(lost, behind)
	c.runBounded(t, settleDuration)
	assertFiveVoters(t, c)
	assert.Assert(t, slices.Contains(c.leader().node.Voters(), lost.peer))
}
