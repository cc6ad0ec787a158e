package ctquorum

import (
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Epoch numbers the leaders of control. Each epoch has at most one leader.
type Epoch uint64

// Index numbers the entries of the log, from 1.
type Index uint64

// Round numbers the messages by which a leader asks for answers.
type Round uint64

// ProposalID names a proposal for the process that made it.
type ProposalID uint64

// Peer is a process of control with the incarnation of its disk.
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

// Snapshot stands for the log up to an index.
type Snapshot struct {
	Index  Index  `json:"index" cbor:"index"`
	Epoch  Epoch  `json:"epoch" cbor:"epoch"`
	Voters []Peer `json:"voters" cbor:"voters"`
	// Data is the state that the commands up to the index made.
	Data []byte `json:"data" cbor:"data"`
}

// PersistentState is what a process keeps on its disk.
type PersistentState struct {
	Epoch Epoch `json:"epoch" cbor:"epoch"`
	// VotedFor is whom the process voted for in the epoch.
	VotedFor Peer     `json:"vote" cbor:"vote"`
	Snapshot Snapshot `json:"snapshot" cbor:"snapshot"`
	// Entries follow the snapshot without a gap.
	Entries []Entry `json:"entries" cbor:"entries"`
}

// Bootstrap returns the durable state of the first process of a new fleet, which
// is its only voter.
func Bootstrap(self Peer) PersistentState {
	return BootstrapVoters([]Peer{self})
}

// BootstrapVoters returns the durable state that all first processes of a new fleet
// start with, which are its voters.
func BootstrapVoters(voters []Peer) PersistentState {
	return PersistentState{
		Epoch:   1,
		Entries: []Entry{{Index: 1, Epoch: 1, Voters: voters}},
	}
}

// last returns the index and the epoch of the last entry.
func (s *PersistentState) last() (Index, Epoch) {
	if len(s.Entries) == 0 {
		return s.Snapshot.Index, s.Snapshot.Epoch
	}
	e := s.Entries[len(s.Entries)-1]
	return e.Index, e.Epoch
}

// epochAt returns the epoch of the entry at an index, and whether the log still
// has it.
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

// entriesFrom returns the entries from an index on, at most limit of them.
func (s *PersistentState) entriesFrom(index Index, limit int) []Entry {
	start := int(index - s.Snapshot.Index - 1)
	if start >= len(s.Entries) {
		return nil
	}
	return slices.Clone(s.Entries[start:min(len(s.Entries), start+limit)])
}

// voters returns the voters that the log names last.
func (s *PersistentState) voters() []Peer {
	for i := len(s.Entries) - 1; i >= 0; i-- {
		if len(s.Entries[i].Voters) > 0 {
			return s.Entries[i].Voters
		}
	}
	return s.Snapshot.Voters
}

// truncate drops the entries from an index on.
func (s *PersistentState) truncate(index Index) {
	s.Entries = s.Entries[:index-s.Snapshot.Index-1]
}

// Write applies what a Persist asks for. A store does the same to its disk.
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
