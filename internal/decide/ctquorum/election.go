package ctquorum

import (
	"cmp"
	"slices"
	"time"
)

// campaign asks the voters for their votes, or first whether they would give
// them.
func (n *Node) campaign(now time.Time, preVote bool) {
	n.resetElectionTimer(now)
	n.votes = map[Peer]bool{n.self: true}
	epoch := n.state.Epoch + 1
	if preVote {
		n.role = rolePreCandidate
	} else {
		n.role = roleCandidate
		n.state.Epoch = epoch
		n.state.VotedFor = n.self
		n.persist(0)
	}
	if n.leader != (Peer{}) {
		n.leader = Peer{}
		n.emit(LeaderChanged{})
	}
	lastIndex, lastEpoch := n.state.last()
	for _, v := range n.state.voters() {
		if v != n.self {
			n.send(v, VoteRequest{
				Epoch: epoch, LastIndex: lastIndex, LastEpoch: lastEpoch, PreVote: preVote, JustStarted: n.justStarted && !preVote,
			})
		}
	}
	n.countVotes(now)
}

// sendStartupVoteRequests asks the voters whether they have heard of no leader since their
// start either. Where all of them have not, there is no leader whose authority
// has to run out: each would be one of them.
func (n *Node) sendStartupVoteRequests(now time.Time) {
	n.nextStartupVoteAt = now.Add(startupVoteInterval)
	lastIndex, lastEpoch := n.state.last()
	for _, v := range n.state.voters() {
		if v != n.self {
			n.send(v, VoteRequest{
				Epoch: n.state.Epoch + 1, LastIndex: lastIndex, LastEpoch: lastEpoch, PreVote: true, JustStarted: true,
			})
		}
	}
}

// handleStartupVoteRequest answers a process that has just started. Of those that have, the
// one with the longest log is to lead, and of these the first by name, so that
// votes are not split.
func (n *Node) handleStartupVoteRequest(from Peer, m VoteRequest) {
	lastIndex, lastEpoch := n.state.last()
	precedence := cmp.Or(
		cmp.Compare(m.LastEpoch, lastEpoch),
		cmp.Compare(m.LastIndex, lastIndex),
		cmp.Compare(n.self.Name, from.Name),
	)
	grant := n.justStarted && n.isVoter() && precedence > 0
	n.send(from, VoteReply{Epoch: m.Epoch, Granted: grant, PreVote: true, JustStarted: true})
}

// handleStartupVoteReply takes the answer of a voter whether it has just started.
func (n *Node) handleStartupVoteReply(now time.Time, from Peer, m VoteReply) {
	n.startupVotes[from] = m.Granted
	n.countStartupVotes(now)
}

// recordNewIncarnation notes that a voter lost its disk: its process has started again
// under a later incarnation, so that the earlier one leads nothing.
func (n *Node) recordNewIncarnation(now time.Time, from Peer) {
	for _, v := range n.state.voters() {
		if v.Name == from.Name && v.Incarnation < from.Incarnation {
			n.startupVotes[v] = true
			n.countStartupVotes(now)
		}
	}
}

// countStartupVotes begins an election where no voter can be a leader.
func (n *Node) countStartupVotes(now time.Time) {
	if !n.justStarted || n.role != roleFollower {
		return
	}
	for _, v := range n.state.voters() {
		if v != n.self && !n.startupVotes[v] {
			return
		}
	}
	n.campaign(now, false)
}

// countVotes looks whether a majority has voted for the process.
func (n *Node) countVotes(now time.Time) {
	voters := n.state.voters()
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
	n.becomeLeader(now)
}

// handleVoteRequest votes for a process whose log is not behind, unless a leader was
// heard of lately or the vote of the epoch is given.
func (n *Node) handleVoteRequest(now time.Time, from Peer, m VoteRequest) {
	switch {
	case n.role == roleLeader && !slices.Contains(n.state.voters(), from):
		// It was taken out while it was away, and does not know.
		n.addLearner(now, from)
	case m.PreVote && m.JustStarted:
		n.handleStartupVoteRequest(from, m)
	default:
		n.answerVoteRequest(now, from, m)
	}
}

// answerVoteRequest answers a voter that wants to lead.
func (n *Node) answerVoteRequest(now time.Time, from Peer, m VoteRequest) {
	bothJustStarted := m.JustStarted && n.justStarted
	grant := n.isVoter() && n.upToDate(m) && (bothJustStarted || !n.hasRecentLeader(now))
	if m.PreVote {
		grant = grant && m.Epoch > n.state.Epoch
		n.send(from, VoteReply{Epoch: m.Epoch, Granted: grant, PreVote: true})
		return
	}
	if !grant || m.Epoch < n.state.Epoch {
		n.send(from, VoteReply{Epoch: n.state.Epoch, Granted: false})
		return
	}
	if m.Epoch > n.state.Epoch {
		n.becomeFollower(now, m.Epoch, Peer{})
	}
	if n.state.VotedFor != (Peer{}) && n.state.VotedFor != from {
		n.send(from, VoteReply{Epoch: n.state.Epoch, Granted: false})
		return
	}
	n.state.VotedFor = from
	n.persist(0)
	n.resetElectionTimer(now)
	n.send(from, VoteReply{Epoch: n.state.Epoch, Granted: true})
}

// hasRecentLeader reports whether a leader was heard of lately. A leader counts
// itself. A process that has just started counts as one that heard of a leader,
// because it may have forgotten that it did.
func (n *Node) hasRecentLeader(now time.Time) bool {
	return n.role == roleLeader || now.Before(n.lastLeaderContact.Add(ElectionTimeout))
}

// upToDate reports whether the asker's log holds all that this one may have
// helped to commit.
func (n *Node) upToDate(m VoteRequest) bool {
	lastIndex, lastEpoch := n.state.last()
	if m.LastEpoch != lastEpoch {
		return m.LastEpoch > lastEpoch
	}
	return m.LastIndex >= lastIndex
}

func (n *Node) handleVoteReply(now time.Time, from Peer, m VoteReply) {
	if m.PreVote && m.JustStarted {
		n.handleStartupVoteReply(now, from, m)
		return
	}
	if !m.Granted {
		if m.Epoch > n.state.Epoch && !m.PreVote {
			n.becomeFollower(now, m.Epoch, Peer{})
		}
		return
	}
	expected := m.Epoch == n.state.Epoch && n.role == roleCandidate && !m.PreVote
	expectedPre := m.Epoch == n.state.Epoch+1 && n.role == rolePreCandidate && m.PreVote
	if !expected && !expectedPre {
		return
	}
	n.votes[from] = true
	n.countVotes(now)
}

// becomeLeader makes the process the leader of its epoch. An entry of the new epoch
// lets it commit what earlier leaders left.
func (n *Node) becomeLeader(now time.Time) {
	n.role = roleLeader
	n.justStarted = false
	n.leader = n.self
	n.lastLeaderContact = now
	n.leaderReady = false
	n.proposals = make(map[Index]ProposalID)
	n.followers = make(map[Peer]*follower)
	last, _ := n.state.last()
	for _, v := range n.state.voters() {
		n.addFollower(now, v, last+1)
	}
	n.append(now, Entry{})
}

// addFollower begins to send the log to a process.
func (n *Node) addFollower(now time.Time, peer Peer, nextIndex Index) {
	if peer == n.self {
		return
	}
	if _, ok := n.followers[peer]; !ok {
		n.followers[peer] = &follower{nextIndex: nextIndex, sentAt: make(map[Round]time.Time), lastSeen: now}
	}
}
