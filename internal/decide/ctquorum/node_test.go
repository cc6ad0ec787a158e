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

// settleDuration is long enough for elections and joins.
const settleDuration = 10 * time.Second

// propose lets the leader append a command and waits for it.
func propose(t *testing.T, c *cluster, id ctquorum.ProposalID) {
	t.Helper()
	leader := c.leader()
	assert.Assert(t, leader != nil, "nobody leads")
	c.step(leader, ctquorum.Propose{ID: id, Data: []byte(fmt.Sprintf("command %d", id))})
	c.run(time.Second)
	assert.Assert(t, slices.Contains(c.committed, fmt.Sprint(id)), "command %d was not settled", id)
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
	assert.Assert(t, c.leader() != nil, "nobody leads")
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
	t.Run("goes on without its leader, which catches up", func(t *testing.T) {
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
	t.Run("is not disturbed by a process that was cut off for long", func(t *testing.T) {
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
	t.Run("repairs a lost disk, and a second right after the first", func(t *testing.T) {
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
	t.Run("never elects from two lost disks of three", func(t *testing.T) {
		c := newCluster(6)
		c.run(settleDuration)
		propose(t, c, 1)
		c.loseDisk(c.processes[0])
		c.loseDisk(c.processes[1])
		c.run(settleDuration)
		assert.Assert(t, c.leader() == nil)
		assertNoViolations(t, c)
	})
	t.Run("brings a process up from a snapshot", func(t *testing.T) {
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

// The shares of random events, in percent.
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

// TestClusterIsSafe lets random failures happen and checks that no index is ever
// applied in two ways, that no epoch has two leaders, and that no two processes
// have authority at one time.
func TestClusterIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"))
		c.run(settleDuration)
		for range rapid.IntRange(200, 1500).Draw(t, "steps") {
			c.randomStep()
			if len(c.violations) > 0 {
				t.Fatalf("%v", c.violations)
			}
		}
	})
}

// randomStep lets one random thing happen.
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

// deliverRandom delivers a packet from anywhere in the network, and sometimes keeps
// a copy.
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

// partitionRandom cuts one process off from the others, or ends all cuts.
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

// lowestRandom always gives the lowest number.
type lowestRandom struct{}

func (lowestRandom) Int64N(int64) int64 {
	return 0
}

// newNode returns process a of three, whose log holds an entry of epoch 2, and a
// time at which it heard of no leader for long.
func newNode(vote ctquorum.Peer) (*ctquorum.Node, time.Time) {
	durable := ctquorum.PersistentState{Epoch: 2, VotedFor: vote, Entries: []ctquorum.Entry{
		{Index: 1, Epoch: 1, Voters: []ctquorum.Peer{peerA, peerB, peerC}},
		{Index: 2, Epoch: 2, Data: []byte("old")},
	}}
	start := time.Unix(0, 0)
	return ctquorum.New(start, peerA, durable, nil, lowestRandom{}), start.Add(time.Hour)
}

// findEffect returns the first effect of a type and its place, or -1.
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
	t.Run("are on disk before they are sent", func(t *testing.T) {
		n, now := newNode(ctquorum.Peer{})
		effects := n.Step(now, ctquorum.Received{From: peerB, Message: request})
		assertVote(t, effects, true)
		persist, written := findEffect[ctquorum.Persist](effects)
		_, sent := findEffect[ctquorum.Send](effects)
		assert.Equal(t, persist.VotedFor, peerB)
		assert.Assert(t, written >= 0 && written < sent)
	})
	t.Run("are given once in an epoch, also over a restart", func(t *testing.T) {
		n, now := newNode(peerC)
		assertVote(t, n.Step(now, ctquorum.Received{From: peerB, Message: request}), false)
	})
	t.Run("are not given right after a start", func(t *testing.T) {
		n, _ := newNode(ctquorum.Peer{})
		assertVote(t, n.Step(time.Unix(0, 0), ctquorum.Received{From: peerB, Message: request}), false)
	})
}

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
	t.Run("does not follow from a majority that has its entry", func(t *testing.T) {
		_, at := findEffect[ctquorum.Apply](reply(2))
		assert.Equal(t, at, -1)
	})
	t.Run("follows with an entry of the leader's own epoch", func(t *testing.T) {
		apply, _ := findEffect[ctquorum.Apply](reply(3))
		assert.Equal(t, len(apply.Entries), 3)
	})
}

// TestAllJustStarted names the pattern of a fleet whose VMs all lost their power:
// nobody has to wait for the authority of a leader that can't be.
func TestAllJustStarted(t *testing.T) {
	t.Run("all voters started again elect at once", func(t *testing.T) {
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
	t.Run("one that lost its disk does not hold the others up", func(t *testing.T) {
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
	t.Run("one that started again waits for the leader that the others hear", func(t *testing.T) {
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
	t.Run("two that started again do not overtake a leader that is cut off", func(t *testing.T) {
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
