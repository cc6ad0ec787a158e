package ctquorum_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// settleDuration is long enough for elections and joins to complete.
const settleDuration = 10 * time.Second

// propose appends a command on the leader and checks that it is committed.
func propose(t *testing.T, c *cluster, id ctquorum.ProposalID) {
	t.Helper()
	leader := c.leader()
	assert.Assert(t, leader != nil, "no leader")
	c.step(leader, ctquorum.Propose{ID: id, Data: []byte(fmt.Sprintf("command %d", id))})
	c.run(time.Second)
	assert.Assert(t, slices.Contains(c.committed, fmt.Sprint(id)), "command %d was not committed", id)
}

// assertApplied checks that all running processes applied the same commands.
func assertApplied(t *testing.T, c *cluster, want ...string) {
	t.Helper()
	for _, m := range c.processes {
		if m.node != nil {
			assert.DeepEqual(t, m.applied, want)
		}
	}
	assertNoViolations(t, c)
}

func assertNoViolations(t *testing.T, c *cluster) {
	t.Helper()
	assert.Equal(t, len(c.violations), 0, "%v", c.violations)
}

func assertVoters(t *testing.T, c *cluster, want ...ctquorum.Peer) {
	t.Helper()
	assert.Assert(t, c.leader() != nil, "no leader")
	voters := c.leader().node.Voters()
	assert.Equal(t, len(voters), len(want), "%v", voters)
	for _, v := range want {
		assert.Assert(t, slices.Contains(voters, v), "%v", voters)
	}
}

func TestCluster(t *testing.T) {
	t.Run("grows from one process", func(t *testing.T) {
		c := newCluster(1)
		c.run(settleDuration)
		assertVoters(t, c, c.processes[0].peer, c.processes[1].peer, c.processes[2].peer)
		propose(t, c, 1)
		assertApplied(t, c, "command 1")
	})
	t.Run("continues without its leader, which catches up after a restart", func(t *testing.T) {
		c := newCluster(2)
		c.run(settleDuration)
		propose(t, c, 1)
		stopped := c.leader()
		stopped.node = nil
		c.run(settleDuration)
		propose(t, c, 2)
		c.start(stopped)
		c.run(settleDuration)
		assertApplied(t, c, "command 1", "command 2")
	})
	t.Run("commits nothing without a majority", func(t *testing.T) {
		c := newCluster(3)
		c.run(settleDuration)
		leader := c.leader()
		for _, m := range c.processes {
			if m != leader {
				m.node = nil
			}
		}
		c.step(leader, ctquorum.Propose{ID: 9, Data: []byte("x")})
		c.run(settleDuration)
		assert.Equal(t, len(c.committed), 0)
		assert.Assert(t, c.leader() == nil, "a leader without a majority has authority")
	})
	t.Run("is not disturbed by the return of a process that was cut off", func(t *testing.T) {
		c := newCluster(4)
		c.run(settleDuration)
		leader := c.leader()
		var isolated ctid.Control
		for _, m := range c.processes {
			if m != leader {
				isolated = m.peer.Name
			}
		}
		c.dropped = func(a, b ctid.Control) bool { return a == isolated || b == isolated }
		c.run(6 * settleDuration)
		c.dropped = func(_, _ ctid.Control) bool { return false }
		c.run(settleDuration)
		assert.Assert(t, c.leader() == leader, "the leader changed")
		assertNoViolations(t, c)
	})
	t.Run("recovers from lost disks, one after another", func(t *testing.T) {
		c := newCluster(5)
		c.run(settleDuration)
		propose(t, c, 1)
		for i, m := range c.processes {
			c.loseDisk(m)
			c.run(settleDuration)
			assertVoters(t, c, c.processes[0].peer, c.processes[1].peer, c.processes[2].peer)
			propose(t, c, ctquorum.ProposalID(i+2))
		}
		assertApplied(t, c, "command 1", "command 2", "command 3", "command 4")
	})
	t.Run("elects no leader after two of three disks are lost", func(t *testing.T) {
		c := newCluster(6)
		c.run(settleDuration)
		propose(t, c, 1)
		c.loseDisk(c.processes[0])
		c.loseDisk(c.processes[1])
		c.run(settleDuration)
		assert.Assert(t, c.leader() == nil)
		assertNoViolations(t, c)
	})
	t.Run("sends a snapshot to a process that lost its disk", func(t *testing.T) {
		c := newCluster(7)
		c.run(settleDuration)
		propose(t, c, 1)
		for _, m := range c.processes {
			c.step(m, ctquorum.SnapshotCreated{Index: m.node.AppliedIndex(), Data: []byte("command 1")})
		}
		c.loseDisk(c.processes[2])
		c.run(settleDuration)
		propose(t, c, 2)
		assertApplied(t, c, "command 1", "command 2")
	})
}

// Upper bounds of the percentages that select a random event. Each event has the range
// from the previous bound up to its own.
const (
	belowDeliver   = 62
	belowTick      = belowDeliver + 16
	belowTimeJump  = belowTick + 3
	belowPropose   = belowTimeJump + 8
	belowDrop      = belowTimeJump + 13
	belowCrash     = belowDrop + 2
	belowPartition = belowCrash + 3
	percentTotal   = 100
)

// TestClusterIsSafe runs random failures. It checks that all processes apply the same
// entry at an index, that no epoch has two leaders, and that no two processes have
// authority at the same time.
func TestClusterIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(clusterSize, sixProcesses).Draw(t, "size")
		voterCount := rapid.SampledFrom([]int{0, clusterSize, fiveVoters}).Draw(t, "voters")
		c := newClusterOf(rapid.Uint64().Draw(t, "seed"), size, voterCount)
		c.run(settleDuration)
		for range rapid.IntRange(200, 1500).Draw(t, "steps") {
			c.randomStep()
			if len(c.violations) > 0 {
				t.Fatalf("%v", c.violations)
			}
		}
	})
}

// randomStep performs one random event: a delivery, a tick, a proposal or a failure.
func (c *cluster) randomStep() {
	m := c.processes[c.random.IntN(len(c.processes))]
	percent := c.random.IntN(percentTotal)
	switch {
	case percent < belowDeliver:
		c.deliverRandom()
	case percent < belowTick:
		c.now = c.now.Add(time.Duration(c.random.IntN(60)) * time.Millisecond)
		c.step(m, ctquorum.Tick{})
	case percent < belowTimeJump:
		c.now = c.now.Add(time.Duration(c.random.IntN(1200)) * time.Millisecond)
	case percent < belowPropose:
		c.lastProposal++
		c.step(m, ctquorum.Propose{ID: c.lastProposal, Data: []byte(fmt.Sprint(c.lastProposal))})
	case percent < belowDrop:
		if len(c.packets) > 0 {
			i := c.random.IntN(len(c.packets))
			c.packets = slices.Delete(c.packets, i, i+1)
		}
	case percent < belowCrash:
		c.start(m)
	case percent < belowPartition:
		c.partitionRandom()
	default:
		if m.node.AppliedIndex() > 0 {
			c.step(m, ctquorum.SnapshotCreated{Index: m.node.AppliedIndex(), Data: []byte("s")})
		}
	}
}

// deliverRandom delivers one of the oldest packets out of order, and sometimes
// duplicates it.
func (c *cluster) deliverRandom() {
	if len(c.packets) == 0 {
		return
	}
	i := c.random.IntN(min(len(c.packets), 12))
	if c.random.IntN(12) == 0 {
		c.packets = append(c.packets, c.packets[i])
	}
	c.deliver(i)
}

// partitionRandom isolates one process from the others, or ends the partition.
func (c *cluster) partitionRandom() {
	isolated := ctid.Control("")
	if c.random.IntN(2) == 0 {
		isolated = c.processes[c.random.IntN(len(c.processes))].peer.Name
	}
	c.dropped = func(a, b ctid.Control) bool { return a == isolated || b == isolated }
}

var (
	peerA = ctquorum.Peer{Name: "a", Incarnation: 1}
	peerB = ctquorum.Peer{Name: "b", Incarnation: 1}
	peerC = ctquorum.Peer{Name: "c", Incarnation: 1}
)

// lowestRandom always returns 0.
type lowestRandom struct{}

func (lowestRandom) Int64N(int64) int64 {
	return 0
}

// newNode returns the node of process a, one of three voters. Its log ends with an
// entry of epoch 2. The returned time is long after its election timeout.
func newNode(vote ctquorum.Peer) (*ctquorum.Node, time.Time) {
	durable := ctquorum.PersistentState{Epoch: 2, VotedFor: vote, Entries: []ctquorum.Entry{
		{Index: 1, Epoch: 1, Voters: []ctquorum.Peer{peerA, peerB, peerC}},
		{Index: 2, Epoch: 2, Data: []byte("old")},
	}}
	start := time.Unix(0, 0)
	return ctquorum.New(start, peerA, durable, nil, lowestRandom{}), start.Add(time.Hour)
}

// findEffect returns the first effect of type E and its index, or -1 if there is none.
func findEffect[E ctquorum.Effect](effects []ctquorum.Effect) (E, int) {
	for i, e := range effects {
		if found, ok := e.(E); ok {
			return found, i
		}
	}
	var none E
	return none, -1
}

func assertVote(t *testing.T, effects []ctquorum.Effect, granted bool) {
	t.Helper()
	sent, _ := findEffect[ctquorum.Send](effects)
	vote, ok := sent.Message.(ctquorum.VoteReply)
	assert.Assert(t, ok, "%#v", effects)
	assert.Equal(t, vote.Granted, granted)
}

func TestVotes(t *testing.T) {
	request := ctquorum.VoteRequest{Epoch: 2, LastIndex: 9, LastEpoch: 2}
	t.Run("are persisted before they are sent", func(t *testing.T) {
		n, now := newNode(ctquorum.Peer{})
		effects := n.Step(now, ctquorum.Received{From: peerB, Message: request})
		assertVote(t, effects, true)
		persist, written := findEffect[ctquorum.Persist](effects)
		_, sent := findEffect[ctquorum.Send](effects)
		assert.Equal(t, persist.VotedFor, peerB)
		assert.Assert(t, written >= 0 && written < sent)
	})
	t.Run("are granted once in an epoch, even across a restart", func(t *testing.T) {
		n, now := newNode(peerC)
		assertVote(t, n.Step(now, ctquorum.Received{From: peerB, Message: request}), false)
	})
	t.Run("are not granted right after a start", func(t *testing.T) {
		n, _ := newNode(ctquorum.Peer{})
		assertVote(t, n.Step(time.Unix(0, 0), ctquorum.Received{From: peerB, Message: request}), false)
	})
}

// TestCommitOfEarlierEpoch checks that a leader commits entries of earlier epochs only
// together with one of its own. Without this rule, a later leader could replace an
// entry that was already committed.
func TestCommitOfEarlierEpoch(t *testing.T) {
	n, now := newNode(ctquorum.Peer{})
	n.Step(now, ctquorum.Tick{})
	n.Step(now, ctquorum.Received{From: peerB, Message: ctquorum.VoteReply{Epoch: 3, Granted: true, PreVote: true}})
	n.Step(now, ctquorum.Received{From: peerB, Message: ctquorum.VoteReply{Epoch: 3, Granted: true}})
	reply := func(match ctquorum.Index) []ctquorum.Effect {
		return n.Step(now, ctquorum.Received{
			From: peerB, Message: ctquorum.AppendReply{Epoch: 3, OK: true, MatchIndex: match},
		})
	}
	t.Run("does not happen when a majority has only the earlier entry", func(t *testing.T) {
		_, at := findEffect[ctquorum.Apply](reply(2))
		assert.Equal(t, at, -1)
	})
	t.Run("happens together with an entry of the leader's own epoch", func(t *testing.T) {
		apply, _ := findEffect[ctquorum.Apply](reply(3))
		assert.Equal(t, len(apply.Entries), 3)
	})
}

// TestAllJustStarted covers a fleet whose VMs all lost power. After the restart no
// leader with authority can exist, so the processes must not wait for one to expire.
func TestAllJustStarted(t *testing.T) {
	t.Run("voters that all restarted elect at once", func(t *testing.T) {
		c := newCluster(1)
		c.run(5 * time.Second)
		assert.Assert(t, c.leader() != nil)
		for _, m := range c.processes {
			c.start(m)
		}
		c.run(ctquorum.ElectionTimeout / 2)
		assert.Assert(t, c.leader() != nil)
		assert.Equal(t, len(c.violations), 0)
	})
	t.Run("a voter that lost its disk does not delay the others", func(t *testing.T) {
		c := newCluster(1)
		c.run(5 * time.Second)
		for _, m := range c.processes[1:] {
			c.start(m)
		}
		c.loseDisk(c.processes[0])
		c.run(ctquorum.ElectionTimeout * 2 / 3)
		assert.Assert(t, c.leader() != nil)
		assert.Equal(t, len(c.violations), 0)
	})
	t.Run("a single restarted voter does not replace the leader", func(t *testing.T) {
		c := newCluster(2)
		c.run(5 * time.Second)
		leader := c.leader()
		for _, m := range c.processes {
			if m != leader {
				c.start(m)
				break
			}
		}
		c.run(ctquorum.ElectionTimeout / 2)
		assert.Equal(t, c.leader(), leader)
	})
	t.Run("two restarted voters do not replace a leader that is cut off", func(t *testing.T) {
		c := newCluster(3)
		c.run(5 * time.Second)
		leader := c.leader()
		c.dropped = func(a, b ctid.Control) bool { return a == leader.peer.Name || b == leader.peer.Name }
		for _, m := range c.processes {
			if m != leader {
				c.start(m)
			}
		}
		c.run(ctquorum.ElectionTimeout / 2)
		assert.Equal(t, c.leader(), leader)
	})
}
