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

// peerD is a process with an empty disk, whose only seed is peerA.
var peerD = ctquorum.Peer{Name: "d", Incarnation: 2}

func newJoiningNode() (*ctquorum.Node, time.Time) {
	start := time.Unix(0, 0)
	seeds := []ctquorum.Peer{{Name: peerA.Name}}
	return ctquorum.New(start, peerD, ctquorum.PersistentState{}, seeds, lowestRandom{}), start
}

// askedBy returns the names of the processes that the effects ask to let the sender join.
func askedBy(effects []ctquorum.Effect) []ctid.Control {
	var names []ctid.Control
	for _, e := range effects {
		if sent, ok := e.(ctquorum.Send); ok {
			if _, ok := sent.Message.(ctquorum.JoinRequest); ok {
				names = append(names, sent.To.Name)
			}
		}
	}
	return names
}

// assertJoinReply checks the answer to a request to join.
func assertJoinReply(t *testing.T, effects []ctquorum.Effect, outcome ctquorum.JoinOutcome, leader ctquorum.Peer) {
	t.Helper()
	for _, e := range effects {
		if sent, ok := e.(ctquorum.Send); ok {
			if reply, ok := sent.Message.(ctquorum.JoinReply); ok {
				assert.Equal(t, sent.To, peerD)
				assert.Equal(t, reply.Outcome, outcome)
				assert.Equal(t, reply.Leader, leader)
				assert.DeepEqual(t, reply.Voters, []ctquorum.Peer{peerA, peerB, peerC})
				return
			}
		}
	}
	t.Fatalf("no reply: %#v", effects)
}

// TestJoinReply covers a request to join that a process dropped without an answer.
func TestJoinReply(t *testing.T) {
	request := ctquorum.Received{From: peerD, Message: ctquorum.JoinRequest{WantsReply: true}}
	t.Run("a process without a leader names none", func(t *testing.T) {
		n, now := newNode(ctquorum.Peer{})
		assertJoinReply(t, n.Step(now, request), ctquorum.JoinNotLeading, ctquorum.Peer{})
	})
	t.Run("a follower names its leader", func(t *testing.T) {
		n, now := newNode(ctquorum.Peer{})
		n.Step(now, ctquorum.Received{From: peerB, Message: ctquorum.AppendRequest{Epoch: 3}})
		assertJoinReply(t, n.Step(now, request), ctquorum.JoinNotLeading, peerB)
	})
	t.Run("a follower names no leader that has been silent", func(t *testing.T) {
		n, now := newNode(ctquorum.Peer{})
		n.Step(now, ctquorum.Received{From: peerB, Message: ctquorum.AppendRequest{Epoch: 3}})
		effects := n.Step(now.Add(ctquorum.ElectionTimeout), request)
		assertJoinReply(t, effects, ctquorum.JoinNotLeading, ctquorum.Peer{})
	})
	t.Run("a leader accepts once it has committed an entry of its epoch", func(t *testing.T) {
		n, now := newNode(ctquorum.Peer{})
		n.Step(now, ctquorum.Tick{})
		n.Step(now, ctquorum.Received{From: peerB, Message: ctquorum.VoteReply{Epoch: 3, Granted: true, PreVote: true}})
		n.Step(now, ctquorum.Received{From: peerB, Message: ctquorum.VoteReply{Epoch: 3, Granted: true}})
		assertJoinReply(t, n.Step(now, request), ctquorum.JoinNotReady, peerA)
		n.Step(now, ctquorum.Received{From: peerB, Message: ctquorum.AppendReply{Epoch: 3, OK: true, MatchIndex: 3}})
		assertJoinReply(t, n.Step(now, request), ctquorum.JoinAccepted, peerA)
	})
	t.Run("a process of an earlier version gets no reply", func(t *testing.T) {
		n, now := newNode(ctquorum.Peer{})
		effects := n.Step(now, ctquorum.Received{From: peerD, Message: ctquorum.JoinRequest{}})
		assert.Equal(t, len(effects), 0, "%#v", effects)
	})
}

// TestJoinRequests covers whom a process with an empty disk asks: it asked its seeds alone.
func TestJoinRequests(t *testing.T) {
	const interval = 100 * time.Millisecond
	reply := func(leader ctquorum.Peer, voters ...ctquorum.Peer) ctquorum.Received {
		message := ctquorum.JoinReply{Outcome: ctquorum.JoinNotLeading, Leader: leader, Voters: voters}
		return ctquorum.Received{From: peerA, Message: message}
	}
	t.Run("the leader and then the voters that it is told of", func(t *testing.T) {
		n, now := newJoiningNode()
		assert.DeepEqual(t, askedBy(n.Step(now, ctquorum.Tick{})), []ctid.Control{"a"})
		n.Step(now, reply(peerC, peerA, peerB, peerC, ctquorum.Peer{Name: peerD.Name, Incarnation: 1}))
		assert.DeepEqual(t, askedBy(n.Step(now.Add(tickStep), ctquorum.Tick{})), []ctid.Control{"c", "b"})
	})
	t.Run("each process once in an interval", func(t *testing.T) {
		n, now := newJoiningNode()
		asked := 0
		for at := now; at.Before(now.Add(time.Second)); at = at.Add(tickStep) {
			asked += len(askedBy(n.Step(at, ctquorum.Tick{})))
			n.Step(at, reply(ctquorum.Peer{}, peerA))
		}
		assert.Equal(t, asked, int(time.Second/interval))
	})
	t.Run("the sender of a message to the lost disk", func(t *testing.T) {
		n, now := newJoiningNode()
		n.Step(now, ctquorum.Misaddressed{From: peerB})
		assert.DeepEqual(t, askedBy(n.Step(now, ctquorum.Tick{})), []ctid.Control{"b", "a"})
	})
	t.Run("a bounded number, of which newer names replace older ones", func(t *testing.T) {
		const told, bound = 40, 16
		n, now := newJoiningNode()
		for i := range told {
			n.Step(now, ctquorum.Misaddressed{From: ctquorum.Peer{Name: ctid.Control(fmt.Sprintf("p-%d", i)), Incarnation: 1}})
		}
		asked := askedBy(n.Step(now, ctquorum.Tick{}))
		assert.Equal(t, len(asked), bound+1)
		assert.Equal(t, asked[0], ctid.Control("p-39"))
		assert.Equal(t, len(n.JoinAnswers()), bound+1)
	})
	t.Run("nobody while it follows a leader", func(t *testing.T) {
		n, now := newJoiningNode()
		n.Step(now, ctquorum.Misaddressed{From: peerB})
		n.Step(now, ctquorum.Received{From: peerB, Message: ctquorum.AppendRequest{Epoch: 3}})
		assert.Equal(t, len(askedBy(n.Step(now.Add(tickStep), ctquorum.Tick{}))), 0)
		assert.Equal(t, len(n.JoinAnswers()), 0)
	})
	t.Run("those it was told of, where the leader is lost before it sent the voters", func(t *testing.T) {
		n, now := newJoiningNode()
		n.Step(now, ctquorum.Misaddressed{From: peerC})
		n.Step(now, ctquorum.Received{From: peerB, Message: ctquorum.AppendRequest{Epoch: 3, PrevIndex: 9, PrevEpoch: 2}})
		asked := askedBy(n.Step(now.Add(ctquorum.ElectionTimeout), ctquorum.Tick{}))
		assert.DeepEqual(t, asked, []ctid.Control{"c", "a"})
	})
}

// TestJoinAnswers covers a process that looked for a leader without a sign of whom it asked.
func TestJoinAnswers(t *testing.T) {
	n, now := newJoiningNode()
	n.Step(now, ctquorum.Tick{})
	t.Run("show a process that has not answered", func(t *testing.T) {
		assert.DeepEqual(t, n.JoinAnswers(), []ctquorum.JoinAnswer{
			{From: ctquorum.Peer{Name: peerA.Name}, AskedAt: now},
		})
	})
	t.Run("show the last answer", func(t *testing.T) {
		at := now.Add(time.Millisecond)
		n.Step(at, ctquorum.Received{From: peerA, Message: ctquorum.JoinReply{
			Outcome: ctquorum.JoinNotLeading, Leader: peerB,
		}})
		assert.DeepEqual(t, n.JoinAnswers(), []ctquorum.JoinAnswer{
			{From: peerA, AskedAt: now, At: at, Outcome: ctquorum.JoinNotLeading, Leader: peerB},
		})
	})
	t.Run("leave out a process that was not asked", func(t *testing.T) {
		n.Step(now, ctquorum.Received{From: peerC, Message: ctquorum.JoinReply{Outcome: ctquorum.JoinNotLeading}})
		assert.Equal(t, len(n.JoinAnswers()), 1)
	})
}

// TestJoinAsksAreBounded covers a process whose answers name other processes each time: the
// joining process forgot whom it had asked, and asked more of them than its bound allows.
func TestJoinAsksAreBounded(t *testing.T) {
	const bound = 16 + 1
	reply := func(first, names int) ctquorum.Received {
		message := ctquorum.JoinReply{Outcome: ctquorum.JoinNotLeading}
		for i := range names {
			name := ctid.Control(fmt.Sprintf("p-%d", first+i))
			message.Voters = append(message.Voters, ctquorum.Peer{Name: name, Incarnation: 1})
		}
		return ctquorum.Received{From: peerA, Message: message}
	}
	t.Run("with other names in each answer", func(t *testing.T) {
		n, now := newJoiningNode()
		asked, intervals := 0, 10
		for i := range intervals * 5 {
			asked += len(askedBy(n.Step(now.Add(time.Duration(i)*tickStep), ctquorum.Tick{})))
			n.Step(now.Add(time.Duration(i)*tickStep), reply(i*16, 16))
		}
		assert.Assert(t, asked <= bound*intervals, "%d requests in %d intervals", asked, intervals)
	})
	t.Run("a long list leaves the leader that another process named", func(t *testing.T) {
		n, now := newJoiningNode()
		n.SetSeeds([]ctquorum.Peer{{Name: peerA.Name}, {Name: peerB.Name}})
		n.Step(now, ctquorum.Tick{})
		n.Step(now, ctquorum.Received{From: peerB, Message: ctquorum.JoinReply{
			Outcome: ctquorum.JoinNotLeading, Leader: peerC,
		}})
		n.Step(now, reply(0, 100))
		asked := askedBy(n.Step(now.Add(tickStep), ctquorum.Tick{}))
		assert.Assert(t, slices.Contains(asked, peerC.Name), "%v", asked)
	})
}
