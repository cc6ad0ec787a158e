package ctquorum_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
)

// TestSurplusVoterOfNewLeader guards against a new leader that removes a voter that answers it,
// while one that is gone stays.
func TestSurplusVoterOfNewLeader(t *testing.T) {
	voters := []ctquorum.Peer{peerA, peerB, peerC, {Name: "d", Incarnation: 1}}
	durable := ctquorum.PersistentState{Epoch: 2, Entries: []ctquorum.Entry{{Index: 1, Epoch: 2, Voters: voters}}}
	_, now := newNode(ctquorum.Peer{})
	n := ctquorum.New(now, peerA, durable, nil, lowestRandom{})
	n.VoterCount = len(voters) - 1
	now = now.Add(settleDuration)
	n.Step(now, ctquorum.Tick{})
	answering := []ctquorum.Peer{peerC, voters[3]}
	for _, preVote := range []bool{true, false} {
		for _, from := range answering {
			n.Step(now, ctquorum.Received{From: from, Message: ctquorum.VoteReply{Epoch: 3, Granted: true, PreVote: preVote}})
		}
	}
	for _, from := range answering {
		n.Step(now, ctquorum.Received{From: from, Message: ctquorum.AppendReply{Epoch: 3, Round: 1, OK: true, MatchIndex: 2}})
	}
	assert.DeepEqual(t, n.Voters(), []ctquorum.Peer{peerA, peerC, voters[3]})
}

// TestSilentVoter guards against memory that grows for as long as a voter is away.
func TestSilentVoter(t *testing.T) {
	const minutes, bound = 5, 1024
	c := newFive()
	away := c.followers()[0]
	away.node = nil
	c.run(minutes * time.Minute)
	rounds := c.leader().node.UnansweredRounds(away.peer)
	assert.Assert(t, rounds <= bound, "%d rounds", rounds)
}
