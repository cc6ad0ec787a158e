package ctquorum

import (
	"cmp"
	"slices"
	"time"
)

// learnerPatience is how long a process that asked to join may be silent before
// the leader sends it nothing more.
const learnerPatience = 10 * time.Second

// voterPatience is how long a voter may be silent before it is taken out, where
// enough others are left.
const voterPatience = 3 * time.Second

// receive takes a message of a peer.
func (n *Node) receive(now time.Time, from Peer, message Message) {
	switch m := message.(type) {
	case VoteRequest:
		n.answerAsk(now, from, m)
	case VoteReply:
		n.takeVote(now, from, m)
	case AppendRequest:
		n.takeAppend(now, from, m)
	case InstallSnapshot:
		n.takeInstall(now, from, m)
	case AppendReply:
		n.takeAppended(now, from, m)
	case JoinRequest:
		n.takeJoin(now, from)
		n.noteReborn(now, from)
	}
}

// append appends an entry to the leader's own log and sends it on.
func (n *Node) append(now time.Time, entry Entry) {
	last, _ := n.durable.last()
	entry.Index, entry.Epoch = last+1, n.durable.Epoch
	n.durable.Entries = append(n.durable.Entries, entry)
	n.persist(entry.Index)
	if len(entry.Voters) > 0 {
		for _, v := range entry.Voters {
			n.track(now, v, entry.Index)
		}
	}
	n.advance(now)
	if n.role == roleLeader {
		n.beat(now)
	}
}

func (n *Node) propose(now time.Time, e Propose) {
	if n.role != roleLeader || !n.announced {
		n.emit(Rejected{ID: e.ID})
		return
	}
	last, _ := n.durable.last()
	n.proposals[last+1] = e.ID
	n.append(now, Entry{Data: e.Data})
}

// remove proposes the voters without one of them.
func (n *Node) remove(now time.Time, e RemoveVoter) {
	voters := n.durable.voters()
	if n.role != roleLeader || n.changingVoters() || !slices.Contains(voters, e.Peer) || len(voters) == 1 {
		n.emit(Rejected{ID: e.ID})
		return
	}
	last, _ := n.durable.last()
	n.proposals[last+1] = e.ID
	n.append(now, Entry{Voters: without(voters, e.Peer)})
}

func without(voters []Peer, peer Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(voters), func(v Peer) bool { return v == peer })
}

// changingVoters reports whether a change of the voters is not committed yet.
func (n *Node) changingVoters() bool {
	for _, e := range n.durable.Entries {
		if e.Index > n.commit && len(e.Voters) > 0 {
			return true
		}
	}
	return false
}

// beat sends every follower what it lacks, or a heartbeat.
func (n *Node) beat(now time.Time) {
	n.beatAt = now.Add(heartbeatTime)
	n.round++
	for _, peer := range n.tracked() {
		f := n.followers[peer]
		f.sent[n.round] = now
		n.sendLog(peer, f)
	}
}

// tracked returns the followers in a fixed order.
func (n *Node) tracked() []Peer {
	peers := make([]Peer, 0, len(n.followers))
	for p := range n.followers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return peers
}

func (n *Node) sendLog(peer Peer, f *follower) {
	prev := f.next - 1
	prevEpoch, ok := n.durable.epochAt(prev)
	if !ok {
		n.send(peer, InstallSnapshot{Epoch: n.durable.Epoch, Round: n.round, Snapshot: n.durable.Snapshot})
		return
	}
	n.send(peer, AppendRequest{
		Epoch: n.durable.Epoch, Round: n.round, PrevIndex: prev, PrevEpoch: prevEpoch,
		Entries: bounded(n.durable.from(f.next, maxEntries)), CommitIndex: n.commit,
	})
}

// bounded returns the first entries that fit one message, and one at least.
func bounded(entries []Entry) []Entry {
	bytes := 0
	for i := range entries {
		bytes += len(entries[i].Data)
		if i > 0 && bytes > maxEntryBytes {
			return entries[:i]
		}
	}
	return entries
}

// takeAppend takes the leader's entries where they continue this log.
func (n *Node) takeAppend(now time.Time, from Peer, m AppendRequest) {
	if m.Epoch < n.durable.Epoch {
		n.send(from, AppendReply{Epoch: n.durable.Epoch, Round: m.Round})
		return
	}
	n.hear(now, from, m.Epoch)
	last, _ := n.durable.last()
	epoch, ok := n.durable.epochAt(m.PrevIndex)
	if m.PrevIndex < n.durable.Snapshot.Index {
		n.send(from, AppendReply{Epoch: m.Epoch, Round: m.Round, MatchIndex: n.durable.Snapshot.Index})
		return
	}
	if !ok || epoch != m.PrevEpoch {
		n.send(from, AppendReply{Epoch: m.Epoch, Round: m.Round, MatchIndex: min(last, m.PrevIndex-1)})
		return
	}
	n.merge(m.Entries)
	match := m.PrevIndex + Index(len(m.Entries))
	n.commitTo(min(m.CommitIndex, match))
	n.send(from, AppendReply{Epoch: m.Epoch, Round: m.Round, OK: true, MatchIndex: match})
}

// hear notes that a leader of the epoch was heard of.
func (n *Node) hear(now time.Time, from Peer, epoch Epoch) {
	if epoch > n.durable.Epoch || n.role != roleFollower || n.leader != from {
		n.follow(now, epoch, from)
	}
	n.heard = now
	n.fresh = false
	n.postpone(now)
}

// merge appends entries that this log lacks, in place of those that disagree.
func (n *Node) merge(entries []Entry) {
	for i, e := range entries {
		epoch, ok := n.durable.epochAt(e.Index)
		if ok && epoch == e.Epoch {
			continue
		}
		if ok {
			n.durable.truncate(e.Index)
		}
		n.durable.Entries = append(n.durable.Entries, entries[i:]...)
		n.persist(e.Index)
		return
	}
}

// takeInstall takes the leader's snapshot where this log lacks what it holds.
func (n *Node) takeInstall(now time.Time, from Peer, m InstallSnapshot) {
	if m.Epoch < n.durable.Epoch {
		n.send(from, AppendReply{Epoch: n.durable.Epoch, Round: m.Round})
		return
	}
	n.hear(now, from, m.Epoch)
	if m.Snapshot.Index > n.commit {
		snapshot := m.Snapshot
		n.durable.Snapshot = snapshot
		n.durable.Entries = nil
		n.commit, n.applied = snapshot.Index, snapshot.Index
		n.emit(Persist{
			Epoch: n.durable.Epoch, VotedFor: n.durable.VotedFor, FirstIndex: snapshot.Index + 1, Snapshot: &snapshot,
		})
		n.emit(Restore{Snapshot: snapshot})
	}
	n.send(from, AppendReply{Epoch: m.Epoch, Round: m.Round, OK: true, MatchIndex: m.Snapshot.Index})
}

// takeAppended notes what a follower has.
func (n *Node) takeAppended(now time.Time, from Peer, m AppendReply) {
	if m.Epoch > n.durable.Epoch {
		n.follow(now, m.Epoch, Peer{})
		return
	}
	f, ok := n.followers[from]
	if n.role != roleLeader || m.Epoch < n.durable.Epoch || !ok {
		return
	}
	f.seen = now
	f.answer(m.Round)
	if !m.OK {
		f.next = max(f.match+1, min(f.next-1, m.MatchIndex+1))
		return
	}
	f.match = max(f.match, m.MatchIndex)
	f.next = max(f.next, f.match+1)
	n.advance(now)
	n.admitLearners(now)
	n.dropLearners(now)
	n.retireSilent(now)
}

// answer notes that a round was answered; earlier ones are forgotten.
func (f *follower) answer(round Round) {
	sent, ok := f.sent[round]
	if !ok {
		return
	}
	if sent.After(f.answered) {
		f.answered = sent
	}
	for r := range f.sent {
		if r <= round {
			delete(f.sent, r)
		}
	}
}

// advance commits what a majority of the voters has. Only an entry of the
// leader's own epoch is counted; those before it are committed with it.
func (n *Node) advance(now time.Time) {
	voters := n.durable.voters()
	matches := make([]Index, 0, len(voters))
	last, _ := n.durable.last()
	for _, v := range voters {
		switch {
		case v == n.self:
			matches = append(matches, last)
		case n.followers[v] != nil:
			matches = append(matches, n.followers[v].match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-majority(voters)]
	if epoch, ok := n.durable.epochAt(index); !ok || epoch != n.durable.Epoch || index <= n.commit {
		return
	}
	n.commitTo(index)
	if !n.announced {
		n.announced = true
		n.emit(BecameLeader{Epoch: n.durable.Epoch})
	}
	if !n.voter() {
		n.follow(now, n.durable.Epoch, Peer{})
	}
}

// commitTo applies the entries up to an index.
func (n *Node) commitTo(index Index) {
	if index <= n.commit {
		return
	}
	n.commit = index
	entries := n.durable.from(n.applied+1, int(index-n.applied))
	n.applied = index
	n.emit(Apply{Entries: entries})
	for _, e := range entries {
		if ticket, ok := n.proposals[e.Index]; ok {
			delete(n.proposals, e.Index)
			n.emit(Committed{ID: ticket, Index: e.Index})
		}
	}
}

// takeJoin begins to send the log to a process that asks to join.
func (n *Node) takeJoin(now time.Time, from Peer) {
	if n.role != roleLeader || !n.announced {
		return
	}
	last, _ := n.durable.last()
	n.track(now, from, last+1)
	n.followers[from].seen = now
}

// admitLearners makes a process that has caught up a voter, and then removes the
// earlier incarnation of its name. One change is made at a time.
func (n *Node) admitLearners(now time.Time) {
	if n.role != roleLeader || !n.announced || n.changingVoters() {
		return
	}
	voters := n.durable.voters()
	for _, peer := range n.tracked() {
		if old, ok := replaced(voters, peer); ok {
			n.append(now, Entry{Voters: without(voters, old)})
			return
		}
		if !slices.Contains(voters, peer) && n.followers[peer].match >= n.commit && n.followers[peer].match > 0 {
			n.append(now, Entry{Voters: append(slices.Clone(voters), peer)})
			return
		}
	}
}

// replaced returns the earlier incarnation of a voter.
func replaced(voters []Peer, peer Peer) (Peer, bool) {
	if !slices.Contains(voters, peer) {
		return Peer{}, false
	}
	for _, v := range voters {
		if v.Name == peer.Name && v.Incarnation < peer.Incarnation {
			return v, true
		}
	}
	return Peer{}, false
}

// retireSilent takes a voter out that has been silent for long, where more
// voters are left without it than the process is to keep.
func (n *Node) retireSilent(now time.Time) {
	voters := n.durable.voters()
	if n.MinVoters == 0 || len(voters) <= n.MinVoters || n.changingVoters() || !n.announced {
		return
	}
	for _, v := range voters {
		f, ok := n.followers[v]
		if ok && now.Sub(f.seen) > voterPatience {
			n.append(now, Entry{Voters: without(voters, v)})
			return
		}
	}
}

// dropLearners forgets processes that are no voters and were not heard of for
// long.
func (n *Node) dropLearners(now time.Time) {
	voters := n.durable.voters()
	for _, peer := range n.tracked() {
		if !slices.Contains(voters, peer) && now.Sub(n.followers[peer].seen) > learnerPatience {
			delete(n.followers, peer)
		}
	}
}

// compact replaces the log up to an applied index by a snapshot.
func (n *Node) compact(e SnapshotCreated) {
	epoch, ok := n.durable.epochAt(e.Index)
	if !ok || e.Index > n.applied || e.Index <= n.durable.Snapshot.Index {
		return
	}
	snapshot := Snapshot{Index: e.Index, Epoch: epoch, Voters: n.votersAt(e.Index), Data: e.Data}
	last, _ := n.durable.last()
	rest := n.durable.from(e.Index+1, int(last-e.Index))
	n.durable.Snapshot = snapshot
	n.durable.Entries = rest
	n.emit(Persist{Epoch: n.durable.Epoch, VotedFor: n.durable.VotedFor, Snapshot: &snapshot})
}

// votersAt returns the voters as of an index.
func (n *Node) votersAt(index Index) []Peer {
	voters := n.durable.Snapshot.Voters
	for _, e := range n.durable.Entries {
		if e.Index <= index && len(e.Voters) > 0 {
			voters = e.Voters
		}
	}
	return voters
}
