package ctquorum

import (
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Epoch numbers the periods of leadership, like a term in Raft. Each epoch has at
// most one leader.
type Epoch uint64

// Index numbers the entries of the log, from 1.
type Index uint64

// Round numbers a leader's broadcasts of its log. A reply names the round that it
// answers.
type Round uint64

// ProposalID identifies a proposal to the process that made it.
type ProposalID uint64

// Peer identifies a process of control by its name and the incarnation of its
// disk.
type Peer struct {
	Name        ctid.Control     `json:"name,omitempty" cbor:"name,omitempty"`
	Incarnation ctid.Incarnation `json:"incarnation" cbor:"incarnation"`
}

// Entry is one entry of the log.
type Entry struct {
	Index Index `json:"index" cbor:"index"`
	Epoch Epoch `json:"epoch" cbor:"epoch"`
	// Voters is set where the entry changes the voters.
	Voters []Peer `json:"voters,omitempty" cbor:"voters,omitempty"`
	// Data is the command; it is empty where the entry has none.
	Data []byte `json:"data,omitempty" cbor:"data,omitempty"`
}

// Snapshot replaces the entries of the log up to and including Index.
type Snapshot struct {
	Index  Index  `json:"index" cbor:"index"`
	Epoch  Epoch  `json:"epoch" cbor:"epoch"`
	Voters []Peer `json:"voters" cbor:"voters"`
	// Data is the encoded state after the commands up to Index.
	Data []byte `json:"data" cbor:"data"`
}

// PersistentState is the state that a process stores on its disk.
type PersistentState struct {
	Epoch Epoch `json:"epoch" cbor:"epoch"`
	// VotedFor is the process that received this one's vote in the epoch; the zero
	// value while there is none.
	VotedFor Peer     `json:"vote" cbor:"vote"`
	Snapshot Snapshot `json:"snapshot" cbor:"snapshot"`
	// Entries follow the snapshot without a gap.
	Entries []Entry `json:"entries" cbor:"entries"`
}

// Bootstrap returns the persistent state of the first process of a new fleet,
// which is its only voter.
func Bootstrap(self Peer) PersistentState {
	return BootstrapVoters([]Peer{self})
}

// BootstrapVoters returns the persistent state with which each of the first
// processes of a new fleet starts. These processes are its voters.
func BootstrapVoters(voters []Peer) PersistentState {
	return PersistentState{
		Epoch:   1,
		Entries: []Entry{{Index: 1, Epoch: 1, Voters: voters}},
	}
}

// last returns the index and the epoch of the last entry, or those of the snapshot
// if no entry follows it.
func (s *PersistentState) last() (Index, Epoch) {
	if len(s.Entries) == 0 {
		return s.Snapshot.Index, s.Snapshot.Epoch
	}
	e := s.Entries[len(s.Entries)-1]
	return e.Index, e.Epoch
}

// epochAt returns the epoch of the entry at an index. It returns false if the log
// does not reach that far or a snapshot has replaced the entry. The index of the
// snapshot itself is still known.
func (s *PersistentState) epochAt(index Index) (Epoch, bool) {
	if index == s.Snapshot.Index {
		return s.Snapshot.Epoch, true
	}
	last, _ := s.last()
	if index < s.Snapshot.Index || index > last {
		return 0, false
	}
	return s.Entries[index-s.Snapshot.Index-1].Epoch, true
}

// entriesFrom returns a copy of at most limit entries, starting at index. The
// index must be higher than that of the snapshot.
func (s *PersistentState) entriesFrom(index Index, limit int) []Entry {
	start := int(index - s.Snapshot.Index - 1)
	if start >= len(s.Entries) {
		return nil
	}
	return slices.Clone(s.Entries[start:min(len(s.Entries), start+limit)])
}

// voters returns the voters in force: those of the last entry that changes them,
// committed or not.
func (s *PersistentState) voters() []Peer {
	for i := len(s.Entries) - 1; i >= 0; i-- {
		if len(s.Entries[i].Voters) > 0 {
			return s.Entries[i].Voters
		}
	}
	return s.Snapshot.Voters
}

// truncate removes the entry at index and all after it.
func (s *PersistentState) truncate(index Index) {
	s.Entries = s.Entries[:index-s.Snapshot.Index-1]
}

// Write applies a Persist effect to the state in memory. A store applies it to its
// disk in the same way.
func (s *PersistentState) Write(p Persist) {
	s.Epoch, s.VotedFor = p.Epoch, p.VotedFor
	if p.FirstIndex > 0 {
		kept := s.Entries[:0:0]
		for _, e := range s.Entries {
			if e.Index < p.FirstIndex {
				kept = append(kept, e)
			}
		}
		s.Entries = append(kept, p.Entries...)
	}
	if p.Snapshot != nil {
		s.Snapshot = *p.Snapshot
		s.Entries = slices.DeleteFunc(s.Entries, func(e Entry) bool { return e.Index <= p.Snapshot.Index })
	}
}
