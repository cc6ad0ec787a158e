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
	Ticket Ticket
	Data   []byte
}

// Remove asks to take a voter out, as when its VM is gone for good.
type Remove struct {
	Ticket Ticket
	Peer   Peer
}

// Compacted reports that the state up to an index is in a snapshot now.
type Compacted struct {
	Index Index
	Data  []byte
}

func (Tick) isEvent()      {}
func (Received) isEvent()  {}
func (Propose) isEvent()   {}
func (Remove) isEvent()    {}
func (Compacted) isEvent() {}

// Effect is something to be done for a process.
type Effect interface {
	isEffect()
}

// Persist asks to write the durable state and to sync it.
type Persist struct {
	Epoch Epoch
	Vote  Peer
	// From is the first entry that changed; those from it on are replaced by
	// Entries. It is 0 where no entry changed.
	From    Index
	Entries []Entry
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

// Settled tells that a proposal was committed and applied.
type Settled struct {
	Ticket Ticket
	Index  Index
}

// Rejected tells that a proposal was not appended, or was lost with its leader:
// whether it will be committed is then not known.
type Rejected struct {
	Ticket Ticket
	// Appended reports whether the proposal was appended before.
	Appended bool
}

// Lead tells that this process leads the epoch and has applied all that earlier
// leaders committed.
type Lead struct {
	Epoch Epoch
}

// Follow tells that another process leads, or that none is known to.
type Follow struct {
	Leader Peer
}

func (Persist) isEffect()  {}
func (Send) isEffect()     {}
func (Apply) isEffect()    {}
func (Restore) isEffect()  {}
func (Settled) isEffect()  {}
func (Rejected) isEffect() {}
func (Lead) isEffect()     {}
func (Follow) isEffect()   {}

// Message is what processes of control send each other.
type Message interface {
	isMessage()
}

// Ask asks for a vote.
type Ask struct {
	Epoch     Epoch `json:"epoch" cbor:"epoch"`
	LastIndex Index `json:"last_index" cbor:"last_index"`
	LastEpoch Epoch `json:"last_epoch" cbor:"last_epoch"`
	// Pre asks only whether the vote would be given.
	Pre bool `json:"pre,omitempty" cbor:"pre,omitempty"`
	// Fresh tells that the sender has heard of no leader since its start.
	Fresh bool `json:"fresh,omitempty" cbor:"fresh,omitempty"`
}

// Vote answers Ask.
type Vote struct {
	Epoch   Epoch `json:"epoch" cbor:"epoch"`
	Granted bool  `json:"granted" cbor:"granted"`
	Pre     bool  `json:"pre,omitempty" cbor:"pre,omitempty"`
	// Fresh tells that the sender has heard of no leader since its start.
	Fresh bool `json:"fresh,omitempty" cbor:"fresh,omitempty"`
}

// Append carries entries, or none, from the leader.
type Append struct {
	Epoch     Epoch   `json:"epoch" cbor:"epoch"`
	Round     Round   `json:"round" cbor:"round"`
	PrevIndex Index   `json:"prev_index" cbor:"prev_index"`
	PrevEpoch Epoch   `json:"prev_epoch" cbor:"prev_epoch"`
	Entries   []Entry `json:"entries,omitempty" cbor:"entries,omitempty"`
	Commit    Index   `json:"commit" cbor:"commit"`
}

// Appended answers Append and Install.
type Appended struct {
	Epoch Epoch `json:"epoch" cbor:"epoch"`
	Round Round `json:"round" cbor:"round"`
	// OK reports whether the entries were appended; Match is the last index
	// that is known to agree then, and a hint where to try again otherwise.
	OK    bool  `json:"ok" cbor:"ok"`
	Match Index `json:"match" cbor:"match"`
}

// Install carries a snapshot from the leader.
type Install struct {
	Epoch    Epoch    `json:"epoch" cbor:"epoch"`
	Round    Round    `json:"round" cbor:"round"`
	Snapshot Snapshot `json:"snapshot" cbor:"snapshot"`
}

// Join asks the leader to let the sender catch up and become a voter.
type Join struct {
	Epoch Epoch `json:"epoch" cbor:"epoch"`
}

func (Ask) isMessage()      {}
func (Vote) isMessage()     {}
func (Append) isMessage()   {}
func (Appended) isMessage() {}
func (Install) isMessage()  {}
func (Join) isMessage()     {}
