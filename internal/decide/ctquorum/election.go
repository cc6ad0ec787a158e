package ctquorum

import (
	"cmp"
	"slices"
	"time"
)

// campaign starts an election, or the pre-vote that comes before it.
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

// sendStartupVoteRequests asks the other voters whether they, too, have received
// nothing from a leader since their start. If this holds for all voters, no leader
// with authority is left, since the leader would be one of them. An election then
// need not wait for a leader's authority to expire.
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

// handleStartupVoteRequest answers a startup vote. Among the processes that just
// started, it prefers the one with the longest log, and among equals the first by
// name, so that votes are not split.
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

// handleStartupVoteReply records a voter's answer to a startup vote.
func (n *Node) handleStartupVoteReply(now time.Time, from Peer, m VoteReply) {
	n.startupVotes[from] = m.Granted
	n.countStartupVotes(now)
}

// recordNewIncarnation counts the startup vote of a voter whose process lost its
// disk. The process runs under a later incarnation now, so the voter can't be a
// leader.
func (n *Node) recordNewIncarnation(now time.Time, from Peer) {
	for _, v := range n.state.voters() {
		if v.Name == from.Name && v.Incarnation < from.Incarnation {
			n.startupVotes[v] = true
			n.countStartupVotes(now)
		}
	}
}

// countStartupVotes starts an election at once if no other voter can be a leader.
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

// countVotes proceeds from the pre-vote to the election, or from the election to
// leadership, once a majority has granted its votes.
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

// handleVoteRequest answers a request for a vote, a pre-vote or a startup vote. A
// leader treats the request of a process that is not a voter as a request to join.
func (n *Node) handleVoteRequest(now time.Time, from Peer, m VoteRequest) {
	switch {
	case n.role == roleLeader && !slices.Contains(n.state.voters(), from):
		// The sender was removed while it was unreachable and does not know yet.
		n.addLearner(now, from)
	case m.PreVote && m.JustStarted:
		n.handleStartupVoteRequest(from, m)
	default:
		n.answerVoteRequest(now, from, m)
	}
}

// answerVoteRequest grants the vote, or the pre-vote, to a process whose log is not
// behind this one's. It refuses if a leader was active recently or the vote of the
// epoch went to another process. If both processes have just started, the wait after
// a start does not apply.
func (n *Node) answerVoteRequest(now time.Time, from Peer, m VoteRequest) {
	bothJustStarted := m.JustStarted && n.justStarted
	grant := n.isVoter() && n.upToDate(m) && (bothJustStarted || !n.hasRecentLeader(now))
	if m.PreVote {
		grant = grant && m.Epoch > n.state.Epoch
		n.send(from, VoteReply{Epoch: m.Epoch, Granted: grant, PreVote: true, CurrentEpoch: n.state.Epoch})
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

// hasRecentLeader reports whether a leader was active within the election timeout. It
// is true for the leader itself. It is also true right after a start, because the
// process may have received a leader's message before the restart.
func (n *Node) hasRecentLeader(now time.Time) bool {
	return n.role == roleLeader || now.Before(n.lastLeaderContact.Add(ElectionTimeout))
}

// upToDate reports whether the candidate's log holds every entry that this process
// may have helped to commit.
func (n *Node) upToDate(m VoteRequest) bool {
	lastIndex, lastEpoch := n.state.last()
	if m.LastEpoch != lastEpoch {
		return m.LastEpoch > lastEpoch
	}
	return m.LastIndex >= lastIndex
}

// handleVoteReply counts a vote that belongs to the current election or pre-vote.
func (n *Node) handleVoteReply(now time.Time, from Peer, m VoteReply) {
	if m.PreVote && m.JustStarted {
		n.handleStartupVoteReply(now, from, m)
		return
	}
	if !m.Granted {
		n.handleRefusedVote(now, m)
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

// handleRefusedVote makes the process a follower in the later epoch of a process that refused its
// vote. A refused pre-vote does so only while no leader is known: the next one then asks for an epoch
// in which the other process has not voted yet.
func (n *Node) handleRefusedVote(now time.Time, m VoteReply) {
	epoch := m.Epoch
	if m.PreVote {
		epoch = m.CurrentEpoch
	}
	if epoch > n.state.Epoch && (!m.PreVote || n.role == rolePreCandidate) {
		n.becomeFollower(now, epoch, Peer{})
	}
}

// becomeLeader makes the process the leader of its epoch. It appends an empty entry,
// because entries of earlier epochs are committed only together with one of the
// leader's own epoch.
func (n *Node) becomeLeader(now time.Time) {
	n.role = roleLeader
	n.justStarted = false
	n.endJoin()
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

// addFollower starts sending the log to a process, from nextIndex on. It does nothing
// if the process is a follower already.
func (n *Node) addFollower(now time.Time, peer Peer, nextIndex Index) {
	if peer == n.self {
		return
	}
	if _, ok := n.followers[peer]; !ok {
		n.followers[peer] = &follower{
			nextIndex: nextIndex, sent: make(map[Round]sentRound), lastSeen: now, lastProgress: now,
		}
	}
}
