package ctquorum

// Event is an input of Node.Step.
type Event interface {
	isEvent()
}

// Tick reports that time has passed. The caller sends it at short, regular
// intervals.
type Tick struct{}

// Received reports that a message came from a peer.
type Received struct {
	From    Peer
	Message Message
}

// Misaddressed reports that a peer sent a message to another incarnation of this
// process, whose disk is lost. The message itself is dropped: only its sender is of use,
// because it leads or campaigns, or follows a leader.
type Misaddressed struct {
	From Peer
}

// Propose asks to append a command to the log. Only a leader can append it. The
// outcome is reported by a Committed or a Rejected effect.
type Propose struct {
	ID   ProposalID
	Data []byte
}

// RemoveVoter asks to remove a voter, for example because its VM is permanently
// gone. The outcome is reported as for Propose.
type RemoveVoter struct {
	ID   ProposalID
	Peer Peer
}

// SnapshotCreated reports that Data holds the applied state up to Index, so the
// entries up to there can be removed from the log.
type SnapshotCreated struct {
	Index Index
	Data  []byte
}

func (Tick) isEvent()            {}
func (Received) isEvent()        {}
func (Misaddressed) isEvent()    {}
func (Propose) isEvent()         {}
func (RemoveVoter) isEvent()     {}
func (SnapshotCreated) isEvent() {}

// Effect is an output of Node.Step, which the caller performs.
type Effect interface {
	isEffect()
}

// Persist asks to write changes of the persistent state to disk and to sync them
// before the next effect is performed.
type Persist struct {
	Epoch    Epoch
	VotedFor Peer
	// FirstIndex is the index of the first changed entry. Entries replaces it and
	// all entries after it. It is 0 if no entry changed.
	FirstIndex Index
	Entries    []Entry
	// Snapshot, if not nil, replaces the stored snapshot and all entries up to
	// its index.
	Snapshot *Snapshot
}

// Send asks to send a message to a peer.
type Send struct {
	To      Peer
	Message Message
}

// Apply asks to apply committed entries, in order.
type Apply struct {
	Entries []Entry
}

// Restore asks to replace the applied state with that of a snapshot.
type Restore struct {
	Snapshot Snapshot
}

// Committed reports that a proposal was committed. It follows the Apply effect
// with the proposal's entry.
type Committed struct {
	ID    ProposalID
	Index Index
}

// Rejected reports that a proposal was not appended, or that this process stopped
// leading before the proposal was committed. In the second case it is unknown
// whether the proposal will be committed.
type Rejected struct {
	ID ProposalID
	// Appended reports the second case: the proposal was appended to the log.
	Appended bool
}

// BecameLeader reports that this process leads the epoch and has applied all
// entries that earlier leaders committed.
type BecameLeader struct {
	Epoch Epoch
}

// LeaderChanged reports that another process leads or that no leader is known.
// Leader is the zero value in the second case.
type LeaderChanged struct {
	Leader Peer
}

func (Persist) isEffect()       {}
func (Send) isEffect()          {}
func (Apply) isEffect()         {}
func (Restore) isEffect()       {}
func (Committed) isEffect()     {}
func (Rejected) isEffect()      {}
func (BecameLeader) isEffect()  {}
func (LeaderChanged) isEffect() {}

// Message is a message between two processes of control.
type Message interface {
	isMessage()
}

// VoteRequest asks for a vote in Epoch. LastIndex and LastEpoch are those of the
// last entry in the sender's log.
type VoteRequest struct {
	Epoch     Epoch `json:"epoch" cbor:"epoch"`
	LastIndex Index `json:"last_index" cbor:"last_index"`
	LastEpoch Epoch `json:"last_epoch" cbor:"last_epoch"`
	// PreVote asks only whether the vote would be granted; nothing is recorded.
	PreVote bool `json:"pre,omitempty" cbor:"pre,omitempty"`
	// JustStarted reports that the sender has received nothing from a leader
	// since its start. Together with PreVote it marks a startup vote.
	JustStarted bool `json:"fresh,omitempty" cbor:"fresh,omitempty"`
}

// VoteReply answers VoteRequest.
type VoteReply struct {
	Epoch   Epoch `json:"epoch" cbor:"epoch"`
	Granted bool  `json:"granted" cbor:"granted"`
	PreVote bool  `json:"pre,omitempty" cbor:"pre,omitempty"`
	// JustStarted marks the answer to a startup vote.
	JustStarted bool `json:"fresh,omitempty" cbor:"fresh,omitempty"`
	// CurrentEpoch is the epoch of the sender, in the answer to a pre-vote. Processes of earlier
	// versions leave it out.
	CurrentEpoch Epoch `json:"current,omitempty" cbor:"current,omitempty"`
}

// AppendRequest sends the leader's entries that follow PrevIndex. It is a heartbeat
// if it has no entries.
type AppendRequest struct {
	Epoch       Epoch   `json:"epoch" cbor:"epoch"`
	Round       Round   `json:"round" cbor:"round"`
	PrevIndex   Index   `json:"prev_index" cbor:"prev_index"`
	PrevEpoch   Epoch   `json:"prev_epoch" cbor:"prev_epoch"`
	Entries     []Entry `json:"entries,omitempty" cbor:"entries,omitempty"`
	CommitIndex Index   `json:"commit" cbor:"commit"`
}

// AppendReply answers AppendRequest and InstallSnapshot.
type AppendReply struct {
	Epoch Epoch `json:"epoch" cbor:"epoch"`
	Round Round `json:"round" cbor:"round"`
	// OK reports whether the sender's log now holds the entries or the snapshot.
	OK bool `json:"ok" cbor:"ok"`
	// MatchIndex is the last index at which the logs are known to agree. If OK is
	// false, it is a hint: the leader next sends the entries that follow it.
	MatchIndex Index `json:"match" cbor:"match"`
}

// InstallSnapshot sends the leader's snapshot to a process whose log lacks entries
// that the leader has already removed.
type InstallSnapshot struct {
	Epoch    Epoch    `json:"epoch" cbor:"epoch"`
	Round    Round    `json:"round" cbor:"round"`
	Snapshot Snapshot `json:"snapshot" cbor:"snapshot"`
}

// JoinRequest asks the leader to add the sender as a learner and, once it has
// caught up, as a voter.
type JoinRequest struct {
	Epoch Epoch `json:"epoch" cbor:"epoch"`
	// WantsReply reports that the sender understands JoinReply. Processes of earlier
	// versions don't.
	WantsReply bool `json:"reply,omitempty" cbor:"reply,omitempty"`
}

// JoinReply answers a JoinRequest that wants a reply. It names the processes to ask next;
// nobody forwards a request.
type JoinReply struct {
	Epoch   Epoch       `json:"epoch" cbor:"epoch"`
	Outcome JoinOutcome `json:"outcome" cbor:"outcome"`
	// Leader is the leader that the sender follows, or the zero value for none.
	Leader Peer `json:"leader" cbor:"leader"`
	// Voters are the voters that the sender knows of.
	Voters []Peer `json:"voters,omitempty" cbor:"voters,omitempty"`
}

func (VoteRequest) isMessage()     {}
func (VoteReply) isMessage()       {}
func (AppendRequest) isMessage()   {}
func (AppendReply) isMessage()     {}
func (InstallSnapshot) isMessage() {}
func (JoinRequest) isMessage()     {}
func (JoinReply) isMessage()       {}
