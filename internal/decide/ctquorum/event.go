package ctquorum

// Event is something that happened to a process.
type Event interface {
	isEvent()
}

// Tick reports that time has passed.
type Tick struct{}

// Received reports that a message came from a peer.
type Received struct {
	From    Peer
	Message Message
}

// Propose asks to append a command. Only a leader does so; the outcome is told
// by a Settled or a Rejected effect.
type Propose struct {
	ID   ProposalID
	Data []byte
}

// RemoveVoter asks to take a voter out, as when its VM is gone for good.
type RemoveVoter struct {
	ID   ProposalID
	Peer Peer
}

// SnapshotCreated reports that the state up to an index is in a snapshot now.
type SnapshotCreated struct {
	Index Index
	Data  []byte
}

func (Tick) isEvent()            {}
func (Received) isEvent()        {}
func (Propose) isEvent()         {}
func (RemoveVoter) isEvent()     {}
func (SnapshotCreated) isEvent() {}

// Effect is something to be done for a process.
type Effect interface {
	isEffect()
}

// Persist asks to write the durable state and to sync it.
type Persist struct {
	Epoch    Epoch
	VotedFor Peer
	// FirstIndex is the first entry that changed; those from it on are replaced by
	// Entries. It is 0 where no entry changed.
	FirstIndex Index
	Entries    []Entry
	// Snapshot replaces the snapshot and all entries up to it, where it is set.
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

// Restore asks to replace the applied state by that of a snapshot.
type Restore struct {
	Snapshot Snapshot
}

// Committed tells that a proposal was committed and applied.
type Committed struct {
	ID    ProposalID
	Index Index
}

// Rejected tells that a proposal was not appended, or was lost with its leader:
// whether it will be committed is then not known.
type Rejected struct {
	ID ProposalID
	// Appended reports whether the proposal was appended before.
	Appended bool
}

// BecameLeader tells that this process leads the epoch and has applied all that earlier
// leaders committed.
type BecameLeader struct {
	Epoch Epoch
}

// LeaderChanged tells that another process leads, or that none is known to.
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

// Message is what processes of control send each other.
type Message interface {
	isMessage()
}

// VoteRequest asks for a vote.
type VoteRequest struct {
	Epoch     Epoch `json:"epoch" cbor:"epoch"`
	LastIndex Index `json:"last_index" cbor:"last_index"`
	LastEpoch Epoch `json:"last_epoch" cbor:"last_epoch"`
	// PreVote asks only whether the vote would be given.
	PreVote bool `json:"pre,omitempty" cbor:"pre,omitempty"`
	// JustStarted tells that the sender has heard of no leader since its start.
	JustStarted bool `json:"fresh,omitempty" cbor:"fresh,omitempty"`
}

// VoteReply answers Ask.
type VoteReply struct {
	Epoch   Epoch `json:"epoch" cbor:"epoch"`
	Granted bool  `json:"granted" cbor:"granted"`
	PreVote bool  `json:"pre,omitempty" cbor:"pre,omitempty"`
	// JustStarted tells that the sender has heard of no leader since its start.
	JustStarted bool `json:"fresh,omitempty" cbor:"fresh,omitempty"`
}

// AppendRequest carries entries, or none, from the leader.
type AppendRequest struct {
	Epoch       Epoch   `json:"epoch" cbor:"epoch"`
	Round       Round   `json:"round" cbor:"round"`
	PrevIndex   Index   `json:"prev_index" cbor:"prev_index"`
	PrevEpoch   Epoch   `json:"prev_epoch" cbor:"prev_epoch"`
	Entries     []Entry `json:"entries,omitempty" cbor:"entries,omitempty"`
	CommitIndex Index   `json:"commit" cbor:"commit"`
}

// AppendReply answers Append and Install.
type AppendReply struct {
	Epoch Epoch `json:"epoch" cbor:"epoch"`
	Round Round `json:"round" cbor:"round"`
	// OK reports whether the entries were appended; Match is the last index
	// that is known to agree then, and a hint where to try again otherwise.
	OK         bool  `json:"ok" cbor:"ok"`
	MatchIndex Index `json:"match" cbor:"match"`
}

// InstallSnapshot carries a snapshot from the leader.
type InstallSnapshot struct {
	Epoch    Epoch    `json:"epoch" cbor:"epoch"`
	Round    Round    `json:"round" cbor:"round"`
	Snapshot Snapshot `json:"snapshot" cbor:"snapshot"`
}

// JoinRequest asks the leader to let the sender catch up and become a voter.
type JoinRequest struct {
	Epoch Epoch `json:"epoch" cbor:"epoch"`
}

func (VoteRequest) isMessage()     {}
func (VoteReply) isMessage()       {}
func (AppendRequest) isMessage()   {}
func (AppendReply) isMessage()     {}
func (InstallSnapshot) isMessage() {}
func (JoinRequest) isMessage()     {}
