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

// settleTime is long enough for elections and joins.
const settleTime = 10 * time.Second

// propose lets the leader append a command and waits for it.
func propose(t *testing.T, c *cluster, ticket ctquorum.ProposalID) {
	t.Helper()
	leader := c.leader()
	assert.Assert(t, leader != nil, "nobody leads")
	c.event(leader, ctquorum.Propose{ID: ticket, Data: []byte(fmt.Sprintf("command %d", ticket))})
	c.run(time.Second)
	assert.Assert(t, slices.Contains(c.settled, fmt.Sprint(ticket)), "command %d was not settled", ticket)
}

// assertApplied checks that all running processes applied the same commands.
func assertApplied(t *testing.T, c *cluster, want ...string) {
	t.Helper()
	for _, m := range c.members {
		if m.node != nil {
			assert.DeepEqual(t, m.applied, want)
		}
	}
	assertNoFaults(t, c)
}

func assertNoFaults(t *testing.T, c *cluster) {
	t.Helper()
	assert.Equal(t, len(c.faults), 0, "%v", c.faults)
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
		c.run(settleTime)
		assertVoters(t, c, c.members[0].peer, c.members[1].peer, c.members[2].peer)
		propose(t, c, 1)
		assertApplied(t, c, "command 1")
	})
	t.Run("goes on without its leader, which catches up", func(t *testing.T) {
		c := newCluster(2)
		c.run(settleTime)
		propose(t, c, 1)
		lost := c.leader()
		lost.node = nil
		c.run(settleTime)
		propose(t, c, 2)
		c.start(lost)
		c.run(settleTime)
		assertApplied(t, c, "command 1", "command 2")
	})
	t.Run("commits nothing without a majority", func(t *testing.T) {
		c := newCluster(3)
		c.run(settleTime)
		leader := c.leader()
		for _, m := range c.members {
			if m != leader {
				m.node = nil
			}
		}
		c.event(leader, ctquorum.Propose{ID: 9, Data: []byte("x")})
		c.run(settleTime)
		assert.Equal(t, len(c.settled), 0)
		assert.Assert(t, c.leader() == nil, "a leader without a majority has authority")
	})
	t.Run("is not disturbed by a process that was cut off for long", func(t *testing.T) {
		c := newCluster(4)
		c.run(settleTime)
		leader := c.leader()
		var outside ctid.Control
		for _, m := range c.members {
			if m != leader {
				outside = m.peer.Name
			}
		}
		c.cut = func(a, b ctid.Control) bool { return a == outside || b == outside }
		c.run(6 * settleTime)
		c.cut = func(_, _ ctid.Control) bool { return false }
		c.run(settleTime)
		assert.Assert(t, c.leader() == leader, "the leader changed")
		assertNoFaults(t, c)
	})
	t.Run("repairs a lost disk, and a second right after the first", func(t *testing.T) {
		c := newCluster(5)
		c.run(settleTime)
		propose(t, c, 1)
		for ticket, m := range c.members {
			c.loseDisk(m)
			c.run(settleTime)
			assertVoters(t, c, c.members[0].peer, c.members[1].peer, c.members[2].peer)
			propose(t, c, ctquorum.ProposalID(ticket+2))
		}
		assertApplied(t, c, "command 1", "command 2", "command 3", "command 4")
	})
	t.Run("never elects from two lost disks of three", func(t *testing.T) {
		c := newCluster(6)
		c.run(settleTime)
		propose(t, c, 1)
		c.loseDisk(c.members[0])
		c.loseDisk(c.members[1])
		c.run(settleTime)
		assert.Assert(t, c.leader() == nil)
		assertNoFaults(t, c)
	})
	t.Run("brings a process up from a snapshot", func(t *testing.T) {
		c := newCluster(7)
		c.run(settleTime)
		propose(t, c, 1)
		for _, m := range c.members {
			c.event(m, ctquorum.SnapshotCreated{Index: m.node.AppliedIndex(), Data: []byte("command 1")})
		}
		c.loseDisk(c.members[2])
		c.run(settleTime)
		propose(t, c, 2)
		assertApplied(t, c, "command 1", "command 2")
	})
}

// The shares of random events, in percent.
const (
	shareDeliver = 62
	shareTick    = shareDeliver + 16
	shareJump    = shareTick + 3
	sharePropose = shareJump + 8
	shareDrop    = shareJump + 13
	shareCrash   = shareDrop + 2
	shareCut     = shareCrash + 3
	whole        = 100
)

// TestClusterIsSafe lets random failures happen and checks that no index is ever
// applied in two ways, that no epoch has two leaders, and that no two processes
// have authority at one time.
func TestClusterIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"))
		c.run(settleTime)
		for range rapid.IntRange(200, 1500).Draw(t, "steps") {
			c.happen()
			if len(c.faults) > 0 {
				t.Fatalf("%v", c.faults)
			}
		}
	})
}

// happen lets one random thing happen.
func (c *cluster) happen() {
	m := c.members[c.random.IntN(len(c.members))]
	chance := c.random.IntN(whole)
	switch {
	case chance < shareDeliver:
		c.deliverAny()
	case chance < shareTick:
		c.now = c.now.Add(time.Duration(c.random.IntN(60)) * time.Millisecond)
		c.event(m, ctquorum.Tick{})
	case chance < shareJump:
		c.now = c.now.Add(time.Duration(c.random.IntN(1200)) * time.Millisecond)
	case chance < sharePropose:
		c.ticket++
		c.event(m, ctquorum.Propose{ID: c.ticket, Data: []byte(fmt.Sprint(c.ticket))})
	case chance < shareDrop:
		if len(c.packets) > 0 {
			at := c.random.IntN(len(c.packets))
			c.packets = slices.Delete(c.packets, at, at+1)
		}
	case chance < shareCrash:
		c.start(m)
	case chance < shareCut:
		c.cutAny()
	default:
		if m.node.AppliedIndex() > 0 {
			c.event(m, ctquorum.SnapshotCreated{Index: m.node.AppliedIndex(), Data: []byte("s")})
		}
	}
}

// deliverAny delivers a packet from anywhere in the network, and sometimes keeps
// a copy.
func (c *cluster) deliverAny() {
	if len(c.packets) == 0 {
		return
	}
	at := c.random.IntN(min(len(c.packets), 12))
	if c.random.IntN(12) == 0 {
		c.packets = append(c.packets, c.packets[at])
	}
	c.deliver(at)
}

// cutAny cuts one process off from the others, or ends all cuts.
func (c *cluster) cutAny() {
	outside := ctid.Control("")
	if c.random.IntN(2) == 0 {
		outside = c.members[c.random.IntN(len(c.members))].peer.Name
	}
	c.cut = func(a, b ctid.Control) bool { return a == outside || b == outside }
}

var (
	peerA = ctquorum.Peer{Name: "a", Incarnation: 1}
	peerB = ctquorum.Peer{Name: "b", Incarnation: 1}
	peerC = ctquorum.Peer{Name: "c", Incarnation: 1}
)

// low always gives the lowest number.
type low struct{}

func (low) Int64N(int64) int64 {
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
	return ctquorum.New(start, peerA, durable, nil, low{}), start.Add(time.Hour)
}

// find returns the first effect of a type and its place, or -1.
func find[E ctquorum.Effect](effects []ctquorum.Effect) (E, int) {
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
	sent, _ := find[ctquorum.Send](effects)
	vote, ok := sent.Message.(ctquorum.VoteReply)
	assert.Assert(t, ok, "%#v", effects)
	assert.Equal(t, vote.Granted, granted)
}

func TestVotes(t *testing.T) {
	ask := ctquorum.VoteRequest{Epoch: 2, LastIndex: 9, LastEpoch: 2}
	t.Run("are on disk before they are sent", func(t *testing.T) {
		n, now := newNode(ctquorum.Peer{})
		effects := n.Step(now, ctquorum.Received{From: peerB, Message: ask})
		assertVote(t, effects, true)
		persist, written := find[ctquorum.Persist](effects)
		_, sent := find[ctquorum.Send](effects)
		assert.Equal(t, persist.VotedFor, peerB)
		assert.Assert(t, written >= 0 && written < sent)
	})
	t.Run("are given once in an epoch, also over a restart", func(t *testing.T) {
		n, now := newNode(peerC)
		assertVote(t, n.Step(now, ctquorum.Received{From: peerB, Message: ask}), false)
	})
	t.Run("are not given right after a start", func(t *testing.T) {
		n, _ := newNode(ctquorum.Peer{})
		assertVote(t, n.Step(time.Unix(0, 0), ctquorum.Received{From: peerB, Message: ask}), false)
	})
}

func TestCommitOfEarlierEpoch(t *testing.T) {
	n, now := newNode(ctquorum.Peer{})
	n.Step(now, ctquorum.Tick{})
	n.Step(now, ctquorum.Received{From: peerB, Message: ctquorum.VoteReply{Epoch: 3, Granted: true, PreVote: true}})
	n.Step(now, ctquorum.Received{From: peerB, Message: ctquorum.VoteReply{Epoch: 3, Granted: true}})
	answer := func(match ctquorum.Index) []ctquorum.Effect {
		return n.Step(now, ctquorum.Received{
			From: peerB, Message: ctquorum.AppendReply{Epoch: 3, OK: true, MatchIndex: match},
		})
	}
	t.Run("does not follow from a majority that has its entry", func(t *testing.T) {
		_, at := find[ctquorum.Apply](answer(2))
		assert.Equal(t, at, -1)
	})
	t.Run("follows with an entry of the leader's own epoch", func(t *testing.T) {
		apply, _ := find[ctquorum.Apply](answer(3))
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
		for _, m := range c.members {
			c.start(m)
		}
		c.run(ctquorum.ElectionTimeout / 2)
		assert.Assert(t, c.leader() != nil)
		assert.Equal(t, len(c.faults), 0)
	})
	t.Run("one that lost its disk does not hold the others up", func(t *testing.T) {
		c := newCluster(1)
		c.run(5 * time.Second)
		for _, m := range c.members[1:] {
			c.start(m)
		}
		c.loseDisk(c.members[0])
		c.run(ctquorum.ElectionTimeout * 2 / 3)
		assert.Assert(t, c.leader() != nil)
		assert.Equal(t, len(c.faults), 0)
	})
	t.Run("one that started again waits for the leader that the others hear", func(t *testing.T) {
		c := newCluster(2)
		c.run(5 * time.Second)
		leader := c.leader()
		for _, m := range c.members {
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
		c.cut = func(a, b ctid.Control) bool { return a == leader.peer.Name || b == leader.peer.Name }
		for _, m := range c.members {
			if m != leader {
				c.start(m)
			}
		}
		c.run(ctquorum.ElectionTimeout / 2)
		assert.Equal(t, c.leader(), leader)
	})
}
