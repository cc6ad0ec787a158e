package ctframe

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// FirstRequest opens an exchange: it requests that a member's holder runs the
// exchange's first request. An exchange consists of the requests on one stream, which
// form one transaction. The holder replies to each of them with any number of Answer
// frames and then with Done, Refused or OutcomeUnknown.
type FirstRequest struct {
	Request ctid.Request `cbor:"request"`
	Group   ctid.Group   `cbor:"group"`
	Member  ctid.Member  `cbor:"member"`
	Caller  ctid.Caller  `cbor:"caller"`
	// Term is the term of the primary in the sender's view. It is 0 if the request is
	// meant for a replica.
	Term ctposition.Term `cbor:"term,omitempty"`
	// ReadOnly reports that the request must not write.
	ReadOnly bool `cbor:"read_only,omitempty"`
	// SingleRead reports that the request is one read outside a transaction. The holder
	// may refuse it as a whole if it turns out to write.
	SingleRead bool `cbor:"single,omitempty"`
	// Key is the request's idempotency key, or empty if it has none. The record of the
	// key is written in the same transaction as the request's writes.
	Key ctid.IdempotencyKey `cbor:"key,omitempty"`
	// MinPoint is the point up to which a replica must have applied the log before it
	// runs the request.
	MinPoint ctposition.Point `cbor:"need"`
	// MaxAge is the greatest age of a replica's data that the request accepts. It is 0 if
	// the request is meant for the primary.
	MaxAge time.Duration `cbor:"max_age,omitempty"`
	// StartTimeout limits how long the request may wait before it is started.
	StartTimeout time.Duration `cbor:"remaining"`
	// Payload holds the request's messages in the PostgreSQL protocol.
	Payload []byte `cbor:"payload"`
}

// Check returns an error of kind cterror.Invalid for the first invalid name or an empty
// payload.
func (r *FirstRequest) Check() error {
	if err := r.Group.Check(); err != nil {
		return err
	}
	if err := r.Member.Check(); err != nil {
		return err
	}
	if err := r.Caller.Check(); err != nil {
		return err
	}
	if r.Key != "" {
		if err := r.Key.Check(); err != nil {
			return err
		}
	}
	return checkPayload(r.Payload)
}

// NextRequest requests that the holder runs the next request of the exchange's open
// transaction. StartTimeout and Payload are as in FirstRequest.
type NextRequest struct {
	Request      ctid.Request  `cbor:"request"`
	StartTimeout time.Duration `cbor:"remaining"`
	Payload      []byte        `cbor:"payload"`
}

// Check returns an error of kind cterror.Invalid if the payload is empty.
func (r *NextRequest) Check() error {
	return checkPayload(r.Payload)
}

func checkPayload(payload []byte) error {
	if len(payload) == 0 {
		return cterror.New(cterror.Invalid, "request has no payload", "send at least one message")
	}
	return nil
}

// Answer contains a part of a request's answer: one or more complete messages in the
// PostgreSQL protocol.
type Answer struct {
	Request ctid.Request `cbor:"request"`
	Payload []byte       `cbor:"payload"`
}

// Done ends the answer to a request that ran.
type Done struct {
	Request ctid.Request `cbor:"request"`
	// InTransaction reports that a transaction is open after the request.
	InTransaction bool `cbor:"transaction,omitempty"`
	// Duplicate reports that the request already ran earlier with the same idempotency
	// key. The repeated request changes nothing.
	Duplicate bool `cbor:"before,omitempty"`
	// Point is a point of the group's log that covers what the request read and wrote.
	Point ctposition.Point `cbor:"point"`
	// Payload holds the last messages of the answer. The holder retains them until the
	// outcome of the request is certain.
	Payload []byte `cbor:"payload"`
	Hint    Hint   `cbor:"hint"`
}

// Refused reports that no part of the request ran.
type Refused struct {
	Request ctid.Request     `cbor:"request"`
	Reason  ctoutcome.Reason `cbor:"reason"`
	// RetryAfter is the delay before a retry that the holder proposes, or 0.
	RetryAfter time.Duration `cbor:"retry_after,omitempty"`
	Hint       Hint          `cbor:"hint"`
}

// OutcomeUnknown reports that the holder sent the request to the member and does not
// know its outcome.
type OutcomeUnknown struct {
	Request ctid.Request     `cbor:"request"`
	Reason  ctoutcome.Reason `cbor:"reason"`
}

// Hint is the state of a member when its holder replied. The proxy that sent the request
// uses it to choose a member for later requests.
type Hint struct {
	// Applied is the point up to which the member has applied the log.
	Applied ctposition.Point `cbor:"applied"`
	// ExpectedWait is how long a new request would wait for a slot.
	ExpectedWait time.Duration `cbor:"wait,omitempty"`
}

// Cancel requests that the holder cancels a running request.
type Cancel struct {
	Request ctid.Request `cbor:"request"`
	Member  ctid.Member  `cbor:"member"`
}

// Check returns an error of kind cterror.Invalid if the member's name is invalid.
func (c *Cancel) Check() error {
	return c.Member.Check()
}

func (*FirstRequest) kind() kind   { return kindFirstRequest }
func (*NextRequest) kind() kind    { return kindNextRequest }
func (*Answer) kind() kind         { return kindAnswer }
func (*Done) kind() kind           { return kindDone }
func (*Refused) kind() kind        { return kindRefused }
func (*OutcomeUnknown) kind() kind { return kindOutcomeUnknown }
func (*Cancel) kind() kind         { return kindCancel }
