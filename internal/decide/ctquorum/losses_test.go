package ctquorum_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
)

// loadInterval is the time between two commands while a loss is played.
const loadInterval = 10 * tickStep

// losses are two losses of two disks each. A second loss is allowed catchUpDuration after the
// processes of the first one are back.
type losses struct {
	seed          uint64
	first, second [maxDiskLosses]int
	// down is for how long the processes of the first loss are stopped.
	down time.Duration
	// after is the time from the first moment at which a second loss is allowed to the loss.
	after time.Duration
	// power reports that all other processes restart at the moment of the second loss.
	power bool
}

// runUnderLoad runs the cluster while its leader gets commands.
func (c *cluster) runUnderLoad(d time.Duration) {
	for until := c.now.Add(d); c.now.Before(until); {
		if leader := c.leader(); leader != nil {
			c.lastProposal++
			c.step(leader, ctquorum.Propose{ID: c.lastProposal, Data: []byte(fmt.Sprint(c.lastProposal))})
		}
		c.run(min(loadInterval, until.Sub(c.now)))
	}
}

// stop stops two processes for good.
func (c *cluster) stop(pair [maxDiskLosses]int) {
	for _, i := range pair {
		c.processes[i].node = nil
	}
}

// returnEmpty starts two processes with empty disks.
func (c *cluster) returnEmpty(pair [maxDiskLosses]int) {
	for _, i := range pair {
		c.loseDisk(c.processes[i])
	}
}

// violation plays the losses, and returns what was wrong, or nothing.
func (l losses) violation() string {
	c := newSixWithFollowingSeeds(l.seed)
	c.runUnderLoad(time.Second)
	c.stop(l.first)
	c.runUnderLoad(l.down)
	c.returnEmpty(l.first)
	c.runUnderLoad(catchUpDuration + l.after)
	c.stop(l.second)
	if l.power {
		for _, m := range c.processes {
			if m.node != nil {
				c.start(m)
			}
		}
	}
	before := len(c.committed)
	c.runUnderLoad(failoverDuration)
	switch {
	case c.leader() == nil:
		return "no leader"
	case len(c.committed) == before:
		return "no command is committed"
	case len(c.violations) > 0:
		return c.violations[0]
	}
	applied := make(map[string]bool)
	for _, command := range committedNow(c) {
		applied[command] = true
	}
	for _, command := range c.committed {
		if !applied[command] {
			return "command " + command + " is lost"
		}
	}
	return ""
}

// pairs returns all pairs of two of the six processes.
func pairs() [][maxDiskLosses]int {
	var all [][maxDiskLosses]int
	for i := range sixProcesses {
		for j := range i {
			all = append(all, [maxDiskLosses]int{j, i})
		}
	}
	return all
}

// assertBorne plays every step-th combination of two losses, from the first on, and fails if one
// stops control or loses a command.
func assertBorne(t *testing.T, down time.Duration, power bool, first, step int) {
	t.Helper()
	all := pairs()
	for i := first; i < len(all)*len(all); i += step {
		l := losses{
			seed: uint64(i), first: all[i/len(all)], second: all[i%len(all)], down: down,
			after: time.Duration(i%len(all)) * tickStep, power: power,
		}
		assert.Equal(t, l.violation(), "", "%+v", l)
	}
}

// TestSecondLoss covers a control without a leader: two disks were lost once those lost before had
// had their time to catch up, at any of several moments of the changes of the voters.
func TestSecondLoss(t *testing.T) {
	const step = 23
	for i, down := range []time.Duration{0, time.Second, 3 * time.Second, 4 * time.Second} {
		t.Run(fmt.Sprintf("after %v without the processes", down), func(t *testing.T) {
			assertBorne(t, down, false, 2*i, step)
		})
		t.Run(fmt.Sprintf("after %v without the processes, and all power lost", down), func(t *testing.T) {
			assertBorne(t, down, true, 2*i+1, step)
		})
	}
}
