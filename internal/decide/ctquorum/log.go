package ctquorum

import (
	"cmp"
	"slices"
	"time"
)

// receive dispatches a peer's message to its handler.
func (n *Node) receive(now time.Time, from Peer, message Message) {
	switch m := message.(type) {
	case VoteRequest:
		n.handleVoteRequest(now, from, m)
	case VoteReply:
		n.handleVoteReply(now, from, m)
	case AppendRequest:
		n.handleAppendRequest(now, from, m)
	case InstallSnapshot:
		n.handleInstallSnapshot(now, from, m)
	case AppendReply:
		n.handleAppendReply(now, from, m)
	case JoinRequest:
		n.handleJoinRequest(now, from, m)
	case JoinReply:
		n.handleJoinReply(now, from, m)
	}
}

// append appends an entry to the leader's own log and sends it to the followers.
func (n *Node) append(now time.Time, entry Entry) {
	last, _ := n.state.last()
	entry.Index, entry.Epoch = last+1, n.state.Epoch
	n.state.Entries = append(n.state.Entries, entry)
	n.persist(entry.Index)
	if len(entry.Voters) > 0 {
		n.votersChangedAt = now
		for _, v := range entry.Voters {
			n.addFollower(now, v, entry.Index)
		}
	}
	n.advanceCommitIndex(now)
	if n.role == roleLeader {
		n.broadcastLog(now)
	}
}

func (n *Node) propose(now time.Time, e Propose) {
	if n.role != roleLeader || !n.leaderReady {
		n.emit(Rejected{ID: e.ID})
		return
	}
	last, _ := n.state.last()
	n.proposals[last+1] = e.ID
	n.append(now, Entry{Data: e.Data})
}

// broadcastLog starts a round: it sends every follower the entries that it lacks, or
// a heartbeat.
func (n *Node) broadcastLog(now time.Time) {
	n.nextHeartbeatAt = now.Add(heartbeatInterval)
	n.round++
	for _, peer := range n.sortedFollowers() {
		f := n.followers[peer]
		f.sent[n.round] = sentRound{at: now, commitIndex: n.commitIndex, prevIndex: f.nextIndex - 1}
		delete(f.sent, n.round-min(n.round, maxUnansweredRounds))
		n.sendLog(peer, f)
	}
}

// sortedFollowers returns the followers by name and incarnation. The fixed order
// keeps runs reproducible.
func (n *Node) sortedFollowers() []Peer {
	peers := make([]Peer, 0, len(n.followers))
	for p := range n.followers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return peers
}

// sendLog sends a follower the entries from its next index on, or the snapshot if
// the log no longer has them.
func (n *Node) sendLog(peer Peer, f *follower) {
	prev := f.nextIndex - 1
	prevEpoch, ok := n.state.epochAt(prev)
	if !ok {
		n.send(peer, InstallSnapshot{Epoch: n.state.Epoch, Round: n.round, Snapshot: n.state.Snapshot})
		return
	}
	n.send(peer, AppendRequest{
		Epoch: n.state.Epoch, Round: n.round, PrevIndex: prev, PrevEpoch: prevEpoch,
		Entries: limitEntries(n.state.entriesFrom(f.nextIndex, maxAppendEntries)), CommitIndex: n.commitIndex,
	})
}

// limitEntries returns the first entries whose data fits in one message, but at least
// one entry.
func limitEntries(entries []Entry) []Entry {
	bytes := 0
	for i := range entries {
		bytes += len(entries[i].Data)
		if i > 0 && bytes > maxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

// handleAppendRequest appends the leader's entries if this log agrees with the
// leader's up to the entry before them. The committed part of this log always agrees, also
// where a snapshot has replaced the entries.
func (n *Node) handleAppendRequest(now time.Time, from Peer, m AppendRequest) {
	if m.Epoch < n.state.Epoch {
		n.send(from, AppendReply{Epoch: n.state.Epoch, Round: m.Round})
		return
	}
	n.recordLeaderContact(now, from, m.Epoch)
	if m.PrevIndex < n.commitIndex {
		m = n.withoutCommitted(m)
	}
	last, _ := n.state.last()
	epoch, ok := n.state.epochAt(m.PrevIndex)
	if !ok || epoch != m.PrevEpoch {
		n.send(from, AppendReply{Epoch: m.Epoch, Round: m.Round, MatchIndex: min(last, m.PrevIndex-1)})
		return
	}
	n.mergeEntries(m.Entries)
	match := m.PrevIndex + Index(len(m.Entries))
	n.commitTo(min(m.CommitIndex, match))
	n.send(from, AppendReply{Epoch: m.Epoch, Round: m.Round, OK: true, MatchIndex: match})
}

// withoutCommitted returns a request without the entries that are committed here.
func (n *Node) withoutCommitted(m AppendRequest) AppendRequest {
	committed := int(n.commitIndex - m.PrevIndex)
	m.Entries = m.Entries[min(committed, len(m.Entries)):]
	m.PrevIndex = n.commitIndex
	m.PrevEpoch, _ = n.state.epochAt(n.commitIndex)
	return m
}

// recordLeaderContact records a message from the leader of the epoch, and makes the
// process its follower.
func (n *Node) recordLeaderContact(now time.Time, from Peer, epoch Epoch) {
	if epoch > n.state.Epoch || n.role != roleFollower || n.leader != from {
		n.becomeFollower(now, epoch, from)
	}
	n.lastLeaderContact = now
	n.justStarted = false
	n.endJoin()
	n.resetElectionTimer(now)
}

// mergeEntries appends the entries that this log lacks. They replace the entries here
// that conflict with them, and all after those.
func (n *Node) mergeEntries(entries []Entry) {
	for i, e := range entries {
		epoch, ok := n.state.epochAt(e.Index)
		if ok && epoch == e.Epoch {
			continue
		}
		if ok {
			n.state.truncate(e.Index)
		}
		n.state.Entries = append(n.state.Entries, entries[i:]...)
		n.persist(e.Index)
		return
	}
}

// handleInstallSnapshot replaces the log and the applied state with the leader's
// snapshot if it is ahead of this process's commit index. Otherwise this log agrees with the
// leader's up to that index.
func (n *Node) handleInstallSnapshot(now time.Time, from Peer, m InstallSnapshot) {
	if m.Epoch < n.state.Epoch {
		n.send(from, AppendReply{Epoch: n.state.Epoch, Round: m.Round})
		return
	}
	n.recordLeaderContact(now, from, m.Epoch)
	if m.Snapshot.Index > n.commitIndex {
		snapshot := m.Snapshot
		n.state.Snapshot = snapshot
		n.state.Entries = nil
		n.commitIndex, n.appliedIndex = snapshot.Index, snapshot.Index
		n.emit(Persist{
			Epoch: n.state.Epoch, VotedFor: n.state.VotedFor, FirstIndex: snapshot.Index + 1, Snapshot: &snapshot,
		})
		n.emit(Restore{Snapshot: snapshot})
	}
	n.send(from, AppendReply{Epoch: m.Epoch, Round: m.Round, OK: true, MatchIndex: n.commitIndex})
}

// handleAppendReply records up to which index a follower's log agrees with the
// leader's, and then commits entries and changes the voters as far as possible.
func (n *Node) handleAppendReply(now time.Time, from Peer, m AppendReply) {
	if m.Epoch > n.state.Epoch {
		n.becomeFollower(now, m.Epoch, Peer{})
		return
	}
	f, ok := n.followers[from]
	if n.role != roleLeader || m.Epoch < n.state.Epoch || !ok {
		return
	}
	f.lastSeen = now
	sent, known := f.recordReply(m.Round)
	if !m.OK {
		if known {
			f.recordRefusal(sent, m.MatchIndex)
		}
		return
	}
	f.recordMatch(now, m.MatchIndex)
	n.advanceCommitIndex(now)
	n.reviseVoters(now)
	n.removeUnreachableLearners(now)
}

// recordReply records that a round was answered, and returns the round if its record is still
// there. The records of this round and of earlier ones are discarded.
func (f *follower) recordReply(round Round) (sent sentRound, known bool) {
	sent, known = f.sent[round]
	if !known {
		return sent, false
	}
	if sent.at.After(f.lastAnswered.at) {
		f.lastAnswered = sent
	}
	for r := range f.sent {
		if r <= round {
			delete(f.sent, r)
		}
	}
	return sent, true
}

// recordRefusal moves nextIndex to the entry after the hint in a refusal. Many requests with
// the same entry before them may have been sent before the first was answered, and only one
// refusal of it counts. The hint of an earlier version may be above the refused request:
// everything up to its snapshot is committed.
func (f *follower) recordRefusal(sent sentRound, hint Index) {
	if sent.prevIndex == f.nextIndex-1 {
		f.nextIndex = max(f.matchIndex, hint) + 1
	}
}

// recordMatch records up to which index the follower's log agrees with the leader's.
func (f *follower) recordMatch(now time.Time, match Index) {
	if match > f.matchIndex || match >= f.lastAnswered.commitIndex {
		f.lastProgress = now
	}
	f.matchIndex = max(f.matchIndex, match)
	f.nextIndex = max(f.nextIndex, f.matchIndex+1)
}

// advanceCommitIndex commits the entries that a majority of the voters has. As in
// Raft, only an entry of the leader's own epoch is committed this way, and all
// entries before it with it. A leader that is no longer a voter steps down.
func (n *Node) advanceCommitIndex(now time.Time) {
	voters := n.state.voters()
	matches := make([]Index, 0, len(voters))
	last, _ := n.state.last()
	for _, v := range voters {
		switch {
		case v == n.self:
			matches = append(matches, last)
		case n.followers[v] != nil:
			matches = append(matches, n.followers[v].matchIndex)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-majority(voters)]
	if epoch, ok := n.state.epochAt(index); !ok || epoch != n.state.Epoch || index <= n.commitIndex {
		return
	}
	n.commitTo(index)
	if !n.leaderReady {
		n.leaderReady = true
		n.emit(BecameLeader{Epoch: n.state.Epoch})
	}
	if !n.isVoter() {
		n.becomeFollower(now, n.state.Epoch, Peer{})
	}
}

// commitTo commits and applies the entries up to an index.
func (n *Node) commitTo(index Index) {
	if index <= n.commitIndex {
		return
	}
	n.commitIndex = index
	entries := n.state.entriesFrom(n.appliedIndex+1, int(index-n.appliedIndex))
	n.appliedIndex = index
	n.emit(Apply{Entries: entries})
	for _, e := range entries {
		if id, ok := n.proposals[e.Index]; ok {
			delete(n.proposals, e.Index)
			n.emit(Committed{ID: id, Index: e.Index})
		}
	}
}

// compact replaces the log up to an applied index with a snapshot.
func (n *Node) compact(e SnapshotCreated) {
	epoch, ok := n.state.epochAt(e.Index)
	if !ok || e.Index > n.appliedIndex || e.Index <= n.state.Snapshot.Index {
		return
	}
	snapshot := Snapshot{Index: e.Index, Epoch: epoch, Voters: n.votersAt(e.Index), Data: e.Data}
	last, _ := n.state.last()
	rest := n.state.entriesFrom(e.Index+1, int(last-e.Index))
	n.state.Snapshot = snapshot
	n.state.Entries = rest
	n.emit(Persist{Epoch: n.state.Epoch, VotedFor: n.state.VotedFor, Snapshot: &snapshot})
}

// votersAt returns the voters in force at an index.
func (n *Node) votersAt(index Index) []Peer {
	voters := n.state.Snapshot.Voters
	for _, e := range n.state.Entries {
		if e.Index <= index && len(e.Voters) > 0 {
			voters = e.Voters
		}
	}
	return voters
}
