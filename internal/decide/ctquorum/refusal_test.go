package ctquorum_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
)

// newLagging returns a cluster whose new leader has sent many requests with the same entry before
// them to a follower that is away.
func newLagging() (c *cluster, leader, lagging *process) {
	c = newClusterOf(1, clusterSize, clusterSize)
	c.run(settleDuration)
	c.keeps = keptPackets
	lagging = c.followers()[0]
	lagging.away = true
	c.start(c.leader())
	c.run(time.Second)
	leader = c.leader()
	for range 20 {
		c.lastProposal++
		c.step(leader, ctquorum.Propose{ID: c.lastProposal, Data: []byte(fmt.Sprint(c.lastProposal))})
		c.run(tickStep)
	}
	return c, leader, lagging
}

// sentTo returns the requests on the way to a process.
func (c *cluster) sentTo(m *process) []ctquorum.AppendRequest {
	var requests []ctquorum.AppendRequest
	for _, p := range c.packets {
		if request, ok := p.message.(ctquorum.AppendRequest); ok && p.to.Name == m.peer.Name {
			requests = append(requests, request)
		}
	}
	return requests
}

// refuse makes a leader receive a follower's refusal of a request.
func (c *cluster) refuse(leader, from *process, request ctquorum.AppendRequest, hint ctquorum.Index) {
	c.step(leader, ctquorum.Received{From: from.peer, Message: ctquorum.AppendReply{
		Epoch: request.Epoch, Round: request.Round, MatchIndex: hint,
	}})
}

// assertNextAfter asserts which entry is before the next that a leader sends.
func assertNextAfter(t *testing.T, c *cluster, lagging *process, prev ctquorum.Index) {
	t.Helper()
	c.packets = nil
	c.run(4 * tickStep)
	requests := c.sentTo(lagging)
	assert.Assert(t, len(requests) > 0)
	assert.Equal(t, requests[len(requests)-1].PrevIndex, prev)
}

// TestRefusals guards against a leader that sends a follower the same entries without end: a
// refusal says something about the request that it answers, and not about the present.
func TestRefusals(t *testing.T) {
	t.Run("of many requests with the same entry before them count once", func(t *testing.T) {
		c, leader, lagging := newLagging()
		requests := c.sentTo(lagging)
		for _, request := range requests {
			c.refuse(leader, lagging, request, request.PrevIndex-1)
		}
		assertNextAfter(t, c, lagging, requests[0].PrevIndex-1)
	})
	t.Run("that come again after a later answer don't count", func(t *testing.T) {
		c, leader, lagging := newLagging()
		requests := c.sentTo(lagging)
		last := requests[len(requests)-1]
		assert.Equal(t, requests[0].PrevIndex, last.PrevIndex)
		c.step(leader, ctquorum.Received{From: lagging.peer, Message: ctquorum.AppendReply{
			Epoch: last.Epoch, Round: last.Round, OK: true, MatchIndex: last.PrevIndex,
		}})
		c.refuse(leader, lagging, requests[0], 1)
		assertNextAfter(t, c, lagging, last.PrevIndex)
	})
	t.Run("of a version before, whose snapshot is further than the request, move the leader forward", func(t *testing.T) {
		c, leader, lagging := newLagging()
		request := c.sentTo(lagging)[0]
		c.refuse(leader, lagging, request, request.PrevIndex+3)
		assertNextAfter(t, c, lagging, request.PrevIndex+3)
	})
}

// TestFollowerAheadOfRequests guards against a follower that refuses for ever what it has already
// committed and replaced by a snapshot.
func TestFollowerAheadOfRequests(t *testing.T) {
	leader, follower := ctquorum.Peer{Name: "a", Incarnation: 1}, ctquorum.Peer{Name: "b", Incarnation: 1}
	const snapshotIndex, epoch = 62, 4
	// answer returns the answer of a follower whose snapshot is at snapshotIndex.
	answer := func(t *testing.T, message ctquorum.Message) ctquorum.AppendReply {
		t.Helper()
		state := ctquorum.PersistentState{Epoch: epoch, Snapshot: ctquorum.Snapshot{
			Index: snapshotIndex, Epoch: epoch, Voters: []ctquorum.Peer{leader, follower},
		}}
		now := time.Unix(1000, 0)
		node := ctquorum.New(now, follower, state, nil, lowestRandom{})
		for _, effect := range node.Step(now, ctquorum.Received{From: leader, Message: message}) {
			if send, ok := effect.(ctquorum.Send); ok {
				reply, ok := send.Message.(ctquorum.AppendReply)
				assert.Assert(t, ok)
				return reply
			}
		}
		t.Fatal("no answer")
		return ctquorum.AppendReply{}
	}
	entries := func(first, last ctquorum.Index) []ctquorum.Entry {
		var list []ctquorum.Entry
		for i := first; i <= last; i++ {
			list = append(list, ctquorum.Entry{Index: i, Epoch: epoch})
		}
		return list
	}
	for _, c := range []struct {
		name    string
		message ctquorum.Message
		match   ctquorum.Index
	}{
		{"entries up to before its snapshot", ctquorum.AppendRequest{
			Epoch: epoch, PrevIndex: 50, PrevEpoch: epoch, Entries: entries(51, 55)}, snapshotIndex},
		{"entries beyond its snapshot", ctquorum.AppendRequest{
			Epoch: epoch, PrevIndex: 50, PrevEpoch: epoch, Entries: entries(51, 65)}, 65},
		{"a heartbeat", ctquorum.AppendRequest{Epoch: epoch, PrevIndex: 50, PrevEpoch: epoch}, snapshotIndex},
		{"an older snapshot", ctquorum.InstallSnapshot{
			Epoch: epoch, Snapshot: ctquorum.Snapshot{Index: 50, Epoch: epoch}}, snapshotIndex},
	} {
		t.Run("accepts "+c.name, func(t *testing.T) {
			reply := answer(t, c.message)
			assert.Assert(t, reply.OK)
			assert.Equal(t, reply.MatchIndex, c.match)
		})
	}
}

// TestStalledVoter guards against a voter that answers and takes no entry, and counts as one that
// bears the next loss.
func TestStalledVoter(t *testing.T) {
	c, leader, lagging := newLagging()
	for range int(settleDuration / tickStep) {
		c.run(tickStep)
		for _, request := range c.sentTo(lagging) {
			c.refuse(leader, lagging, request, 0)
		}
		c.packets = nil
	}
	for _, v := range statusOf[ctquorum.Leading](t, c, leader).Voters {
		if v.Peer == lagging.peer {
			assert.Equal(t, v.Loss, ctquorum.LossStalled, "%+v", v)
		}
	}
	lagging.away = false
	c.run(time.Second)
	assert.Assert(t, !statusOf[ctquorum.Leading](t, c, leader).Margin().AtRisk())
}
