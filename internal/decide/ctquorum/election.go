package ctquorum

import (
	"cmp"
	"slices"
	"time"
)

// campaign asks the voters for their votes, or first whether they would give
// them.
func (n *Node) campaign(now time.Time, pre bool) {
	n.postpone(now)
	n.votes = map[Peer]bool{n.self: true}
	epoch := n.durable.Epoch + 1
	if pre {
		n.role = rolePreCandidate
	} else {
		n.role = roleCandidate
		n.durable.Epoch = epoch
		n.durable.VotedFor = n.self
		n.persist(0)
	}
	if n.leader != (Peer{}) {
		n.leader = Peer{}
		n.emit(LeaderChanged{})
	}
	lastIndex, lastEpoch := n.durable.last()
	for _, v := range n.durable.voters() {
		if v != n.self {
			n.send(v, VoteRequest{
				Epoch: epoch, LastIndex: lastIndex, LastEpoch: lastEpoch, PreVote: pre, JustStarted: n.fresh && !pre,
			})
		}
	}
	n.count(now)
}

// askFresh asks the voters whether they have heard of no leader since their
// start either. Where all of them have not, there is no leader whose authority
// has to run out: each would be one of them.
func (n *Node) askFresh(now time.Time) {
	n.freshAt = now.Add(freshTime)
	lastIndex, lastEpoch := n.durable.last()
	for _, v := range n.durable.voters() {
		if v != n.self {
			n.send(v, VoteRequest{
				Epoch: n.durable.Epoch + 1, LastIndex: lastIndex, LastEpoch: lastEpoch, PreVote: true, JustStarted: true,
			})
		}
	}
}

// answerFresh answers a process that has just started. Of those that have, the
// one with the longest log is to lead, and of these the first by name, so that
// votes are not split.
func (n *Node) answerFresh(from Peer, m VoteRequest) {
	lastIndex, lastEpoch := n.durable.last()
	order := cmp.Or(
		cmp.Compare(m.LastEpoch, lastEpoch),
		cmp.Compare(m.LastIndex, lastIndex),
		cmp.Compare(n.self.Name, from.Name),
	)
	grant := n.fresh && n.voter() && order > 0
	n.send(from, VoteReply{Epoch: m.Epoch, Granted: grant, PreVote: true, JustStarted: true})
}

// takeFresh takes the answer of a voter whether it has just started.
func (n *Node) takeFresh(now time.Time, from Peer, m VoteReply) {
	n.freshVotes[from] = m.Granted
	n.countFresh(now)
}

// noteReborn notes that a voter lost its disk: its process has started again
// under a later incarnation, so that the earlier one leads nothing.
func (n *Node) noteReborn(now time.Time, from Peer) {
	for _, v := range n.durable.voters() {
		if v.Name == from.Name && v.Incarnation < from.Incarnation {
			n.freshVotes[v] = true
			n.countFresh(now)
		}
	}
}

// countFresh begins an election where no voter can be a leader.
func (n *Node) countFresh(now time.Time) {
	if !n.fresh || n.role != roleFollower {
		return
	}
	for _, v := range n.durable.voters() {
		if v != n.self && !n.freshVotes[v] {
			return
		}
	}
	n.campaign(now, false)
}

// count looks whether a majority has voted for the process.
func (n *Node) count(now time.Time) {
	voters := n.durable.voters()
	granted := 0
	for _, v := range voters {
		if n.votes[v] {
			granted++
		}
	}
	if granted < majority(voters) {
		return
	}
	if n.role == rolePreCandidate {
		n.campaign(now, false)
		return
	}
	n.lead(now)
}

// answerAsk votes for a process whose log is not behind, unless a leader was
// heard of lately or the vote of the epoch is given.
func (n *Node) answerAsk(now time.Time, from Peer, m VoteRequest) {
	switch {
	case n.role == roleLeader && !slices.Contains(n.durable.voters(), from):
		// It was taken out while it was away, and does not know.
		n.takeJoin(now, from)
	case m.PreVote && m.JustStarted:
		n.answerFresh(from, m)
	default:
		n.answerCandidate(now, from, m)
	}
}

// answerCandidate answers a voter that wants to lead.
func (n *Node) answerCandidate(now time.Time, from Peer, m VoteRequest) {
	bothFresh := m.JustStarted && n.fresh
	grant := n.voter() && n.upToDate(m) && (bothFresh || !n.hearsLeader(now))
	if m.PreVote {
		grant = grant && m.Epoch > n.durable.Epoch
		n.send(from, VoteReply{Epoch: m.Epoch, Granted: grant, PreVote: true})
		return
	}
	if !grant || m.Epoch < n.durable.Epoch {
		n.send(from, VoteReply{Epoch: n.durable.Epoch, Granted: false})
		return
	}
	if m.Epoch > n.durable.Epoch {
		n.follow(now, m.Epoch, Peer{})
	}
	if n.durable.VotedFor != (Peer{}) && n.durable.VotedFor != from {
		n.send(from, VoteReply{Epoch: n.durable.Epoch, Granted: false})
		return
	}
	n.durable.VotedFor = from
	n.persist(0)
	n.postpone(now)
	n.send(from, VoteReply{Epoch: n.durable.Epoch, Granted: true})
}

// hearsLeader reports whether a leader was heard of lately. A leader counts
// itself. A process that has just started counts as one that heard of a leader,
// because it may have forgotten that it did.
func (n *Node) hearsLeader(now time.Time) bool {
	return n.role == roleLeader || now.Before(n.heard.Add(ElectionTimeout))
}

// upToDate reports whether the asker's log holds all that this one may have
// helped to commit.
func (n *Node) upToDate(m VoteRequest) bool {
	lastIndex, lastEpoch := n.durable.last()
	if m.LastEpoch != lastEpoch {
		return m.LastEpoch > lastEpoch
	}
	return m.LastIndex >= lastIndex
}

func (n *Node) takeVote(now time.Time, from Peer, m VoteReply) {
	if m.PreVote && m.JustStarted {
		n.takeFresh(now, from, m)
		return
	}
	if !m.Granted {
		if m.Epoch > n.durable.Epoch && !m.PreVote {
			n.follow(now, m.Epoch, Peer{})
		}
		return
	}
	expected := m.Epoch == n.durable.Epoch && n.role == roleCandidate && !m.PreVote
	expectedPre := m.Epoch == n.durable.Epoch+1 && n.role == rolePreCandidate && m.PreVote
	if !expected && !expectedPre {
		return
	}
	n.votes[from] = true
	n.count(now)
}

// lead makes the process the leader of its epoch. An entry of the new epoch
// lets it commit what earlier leaders left.
func (n *Node) lead(now time.Time) {
	n.role = roleLeader
	n.fresh = false
	n.leader = n.self
	n.heard = now
	n.announced = false
	n.proposals = make(map[Index]ProposalID)
	n.followers = make(map[Peer]*follower)
	last, _ := n.durable.last()
	for _, v := range n.durable.voters() {
		n.track(now, v, last+1)
	}
	n.append(now, Entry{})
}

// track begins to send the log to a process.
func (n *Node) track(now time.Time, peer Peer, next Index) {
	if peer == n.self {
		return
	}
	if _, ok := n.followers[peer]; !ok {
		n.followers[peer] = &follower{next: next, sent: make(map[Round]time.Time), seen: now}
	}
}
