package ctquorum_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// newFirstStart returns six processes that start for the first time, with three seeds as the
// voters. The last late seeds don't run yet.
func newFirstStart(seed uint64, late int) *cluster {
	c := &cluster{
		voterCount: fiveVoters, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 0)),
		dropped:      func(_, _ ctid.Control) bool { return false },
		firstApplied: make(map[ctquorum.Index]string), leaders: make(map[ctquorum.Epoch]ctquorum.Peer),
	}
	var voters []ctquorum.Peer
	for i := range sixProcesses {
		m := &process{peer: ctquorum.Peer{Name: ctid.Control(fmt.Sprintf("control-%d", i)), Incarnation: 1}}
		c.processes = append(c.processes, m)
		if i < seedCount {
			c.seedNames = append(c.seedNames, m.peer.Name)
			voters = append(voters, m.peer)
		}
	}
	for i, m := range c.processes {
		if i < seedCount {
			m.disk = ctquorum.BootstrapVoters(voters)
		}
		if i < seedCount-late || i >= seedCount {
			c.start(m)
		}
	}
	return c
}

// assertStarts checks that six processes have a leader and five voters after some have lost
// their disks at any moment of their first second, and late seeds have started only then.
func assertStarts(t *testing.T, late int, lost ...int) {
	t.Helper()
	for at := time.Duration(0); at <= time.Second; at += 5 * tickStep {
		c := newFirstStart(uint64(at), late)
		c.run(at)
		for _, i := range lost {
			c.loseDisk(c.processes[i])
		}
		for _, m := range c.processes {
			if m.node == nil {
				c.start(m)
			}
		}
		c.run(settleDuration)
		assertFiveVoters(t, c)
	}
}

// TestFirstStart covers a control that never begins to serve, because disks are lost before the
// first voters have met.
func TestFirstStart(t *testing.T) {
	t.Run("one seed loses its disk", func(t *testing.T) {
		assertStarts(t, 0, 0)
	})
	t.Run("the seed that starts first loses its disk", func(t *testing.T) {
		assertStarts(t, seedCount-1, 0)
	})
	t.Run("a seed and another process lose their disks", func(t *testing.T) {
		assertStarts(t, 1, 0, seedCount)
	})
	t.Run("two seeds lose their disks", func(t *testing.T) {
		assertStarts(t, 0, 0, 1)
	})
}
