package ctframe

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// Quorum contains a message of the consensus protocol between control processes.
// Exactly one of the message fields is set.
type Quorum struct {
	From ctquorum.Peer `cbor:"from"`
	// To is the receiver. Its incarnation is 0 if the sender does not know it.
	To ctquorum.Peer `cbor:"to"`

	VoteRequest     *ctquorum.VoteRequest     `cbor:"ask,omitempty"`
	VoteReply       *ctquorum.VoteReply       `cbor:"vote,omitempty"`
	AppendRequest   *ctquorum.AppendRequest   `cbor:"append,omitempty"`
	AppendReply     *ctquorum.AppendReply     `cbor:"appended,omitempty"`
	InstallSnapshot *ctquorum.InstallSnapshot `cbor:"install,omitempty"`
	JoinRequest     *ctquorum.JoinRequest     `cbor:"join,omitempty"`
	JoinReply       *ctquorum.JoinReply       `cbor:"joined,omitempty"`
}

// NewQuorum returns the frame that contains the message.
func NewQuorum(from, to ctquorum.Peer, message ctquorum.Message) *Quorum {
	q := &Quorum{From: from, To: to}
	switch m := message.(type) {
	case ctquorum.VoteRequest:
		q.VoteRequest = &m
	case ctquorum.VoteReply:
		q.VoteReply = &m
	case ctquorum.AppendRequest:
		q.AppendRequest = &m
	case ctquorum.AppendReply:
		q.AppendReply = &m
	case ctquorum.InstallSnapshot:
		q.InstallSnapshot = &m
	case ctquorum.JoinRequest:
		q.JoinRequest = &m
	case ctquorum.JoinReply:
		q.JoinReply = &m
	}
	return q
}

// Message returns the message in the frame, or nil if none is set.
func (q *Quorum) Message() ctquorum.Message {
	switch {
	case q.VoteRequest != nil:
		return *q.VoteRequest
	case q.VoteReply != nil:
		return *q.VoteReply
	case q.AppendRequest != nil:
		return *q.AppendRequest
	case q.AppendReply != nil:
		return *q.AppendReply
	case q.InstallSnapshot != nil:
		return *q.InstallSnapshot
	case q.JoinRequest != nil:
		return *q.JoinRequest
	case q.JoinReply != nil:
		return *q.JoinReply
	}
	return nil
}

// Check returns an error of kind cterror.Invalid if the sender or the message is missing or
// invalid.
func (q *Quorum) Check() error {
	if err := q.From.Name.Check(); err != nil {
		return err
	}
	if q.From.Incarnation == 0 || q.Message() == nil {
		return cterror.New(cterror.Invalid, "a message between control processes is incomplete",
			"check that all control processes have one version")
	}
	if q.JoinReply != nil {
		return q.JoinReply.Outcome.Check()
	}
	return nil
}

func (*Quorum) kind() kind { return kindQuorum }
