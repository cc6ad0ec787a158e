package ctframe

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// Quorum carries a message between control processes. One of its messages is
// set.
type Quorum struct {
	From ctquorum.Peer `cbor:"from"`
	// To is whom the message is for. Its incarnation is 0 where the sender does
	// not know it.
	To ctquorum.Peer `cbor:"to"`

	Ask      *ctquorum.VoteRequest     `cbor:"ask,omitempty"`
	Vote     *ctquorum.VoteReply       `cbor:"vote,omitempty"`
	Append   *ctquorum.AppendRequest   `cbor:"append,omitempty"`
	Appended *ctquorum.AppendReply     `cbor:"appended,omitempty"`
	Install  *ctquorum.InstallSnapshot `cbor:"install,omitempty"`
	Join     *ctquorum.JoinRequest     `cbor:"join,omitempty"`
}

// NewQuorum returns the frame for a message.
func NewQuorum(from, to ctquorum.Peer, message ctquorum.Message) *Quorum {
	q := &Quorum{From: from, To: to}
	switch m := message.(type) {
	case ctquorum.VoteRequest:
		q.Ask = &m
	case ctquorum.VoteReply:
		q.Vote = &m
	case ctquorum.AppendRequest:
		q.Append = &m
	case ctquorum.AppendReply:
		q.Appended = &m
	case ctquorum.InstallSnapshot:
		q.Install = &m
	case ctquorum.JoinRequest:
		q.Join = &m
	}
	return q
}

// Message returns the message that is set, or nil.
func (q *Quorum) Message() ctquorum.Message {
	switch {
	case q.Ask != nil:
		return *q.Ask
	case q.Vote != nil:
		return *q.Vote
	case q.Append != nil:
		return *q.Append
	case q.Appended != nil:
		return *q.Appended
	case q.Install != nil:
		return *q.Install
	case q.Join != nil:
		return *q.Join
	}
	return nil
}

// Check reports the first fault of the frame.
func (q *Quorum) Check() error {
	if err := q.From.Name.Check(); err != nil {
		return err
	}
	if q.From.Incarnation == 0 || q.Message() == nil {
		return cterror.New(cterror.Invalid, "a message between control processes is incomplete",
			"check that all control processes have one version")
	}
	return nil
}

func (*Quorum) kind() kind { return kindQuorum }
