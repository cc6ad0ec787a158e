package ctframe

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// FirstRequest asks a holder to run the first request of an exchange.
type FirstRequest struct {
	Request ctid.Request `cbor:"request"`
	Group   ctid.Group   `cbor:"group"`
	Member  ctid.Member  `cbor:"member"`
	Caller  ctid.Caller  `cbor:"caller"`
	// Term is the term in which the member is taken to be the primary; 0 where
	// it is asked as a replica.
	Term ctposition.Term `cbor:"term,omitempty"`
	// ReadOnly reports whether the request must not write.
	ReadOnly bool `cbor:"read_only,omitempty"`
	// SingleRead reports whether the request is one read outside a transaction,
	// which the holder may refuse as a whole when it proves to write.
	SingleRead bool `cbor:"single,omitempty"`
	// Key is the request's idempotency key, empty where it has none. Its record
	// is written with what the request writes.
	Key ctid.IdempotencyKey `cbor:"key,omitempty"`
	// MinPoint is what a replica must hold to serve the request.
	MinPoint ctposition.Point `cbor:"need"`
	// MaxAge is the age that the request accepts.
	MaxAge time.Duration `cbor:"max_age,omitempty"`
	// StartTimeout is how long the request may wait to be started.
	StartTimeout time.Duration `cbor:"remaining"`
	// Payload is the request in the PostgreSQL protocol.
	Payload []byte `cbor:"payload"`
}

// Check reports the first fault of the frame.
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

// NextRequest asks for the next request of the exchange's open transaction.
type NextRequest struct {
	Request      ctid.Request  `cbor:"request"`
	StartTimeout time.Duration `cbor:"remaining"`
	Payload      []byte        `cbor:"payload"`
}

// Check reports the first fault of the frame.
func (r *NextRequest) Check() error {
	return checkPayload(r.Payload)
}

func checkPayload(payload []byte) error {
	if len(payload) == 0 {
		return cterror.New(cterror.Invalid, "request has no payload", "send at least one message")
	}
	return nil
}

// Answer carries whole messages of a request's answer.
type Answer struct {
	Request ctid.Request `cbor:"request"`
	Payload []byte       `cbor:"payload"`
}

// Done ends the answer of a request that ran.
type Done struct {
	Request ctid.Request `cbor:"request"`
	// InTransaction reports whether the exchange is in a transaction now.
	InTransaction bool `cbor:"transaction,omitempty"`
	// Duplicate reports that the request ran earlier, under the same idempotency
	// key.
	Duplicate bool `cbor:"before,omitempty"`
	// Point covers what the request read and wrote.
	Point ctposition.Point `cbor:"point"`
	// Payload holds the messages that were held back until the request's
	// outcome was certain.
	Payload []byte `cbor:"payload"`
	Hint    Hint   `cbor:"hint"`
}

// Refused says that nothing of the request ran.
type Refused struct {
	Request    ctid.Request     `cbor:"request"`
	Reason     ctoutcome.Reason `cbor:"reason"`
	RetryAfter time.Duration    `cbor:"retry_after,omitempty"`
	Hint       Hint             `cbor:"hint"`
}

// OutcomeUnknown says that the request was sent to the member and that its outcome is
// not known to the holder.
type OutcomeUnknown struct {
	Request ctid.Request     `cbor:"request"`
	Reason  ctoutcome.Reason `cbor:"reason"`
}

// Hint tells the asker how the member stands.
type Hint struct {
	Applied      ctposition.Point `cbor:"applied"`
	ExpectedWait time.Duration    `cbor:"wait,omitempty"`
}

// Cancel asks the holder to cancel a request that runs.
type Cancel struct {
	Request ctid.Request `cbor:"request"`
	Member  ctid.Member  `cbor:"member"`
}

// Check reports the first fault of the frame.
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
