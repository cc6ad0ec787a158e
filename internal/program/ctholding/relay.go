package ctholding

import (
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// Limits on the buffers of a relay.
const (
	// frameBytes is the size at which buffered messages are sent as one frame.
	frameBytes = 32 << 10
	// maxWithheldBytes is the most of an answer that is withheld.
	maxWithheldBytes = 8 << 20
)

// relay sends a backend server's answer to the entry proxy. It withholds the
// answer from the first CommandComplete or ReadyForQuery on, because these tell
// the caller that its write is committed.
type relay struct {
	exchange    *exchange
	out         []byte
	withheld    []byte
	withholding bool
	flushed     bool
	// writeRefused reports that the backend server refused a single read because
	// it writes. Nothing of it ran.
	writeRefused bool
	// awaitingRecord reports that the answer to the insertion of the request's
	// record is still to come, or that the insertion failed as a duplicate.
	awaitingRecord bool
	// duplicate reports that the record existed already.
	duplicate bool
	// failure is the reason why the answer can't be relayed; ReasonNone if it can.
	failure ctoutcome.Reason
}

// HandleMessage buffers, sends or withholds one message of the answer.
func (r *relay) HandleMessage(message ctbackend.Message) error {
	if r.handleRecordReply(message) {
		return nil
	}
	if r.writeRefused && message.Type() != ctbackend.TypeReadyForQuery {
		return nil
	}
	switch message.Type() {
	case ctbackend.TypeCopyIn, ctbackend.TypeCopyOut, ctbackend.TypeCopyBoth:
		return r.fail(ctoutcome.ReasonCopyNotSupported)
	case ctbackend.TypeErrorResponse:
		if r.isWriteRefusal(message) {
			r.writeRefused = true
			return nil
		}
	case ctbackend.TypeCommandComplete, ctbackend.TypeReadyForQuery:
		r.withholding = true
	}
	if r.withholding {
		return r.withhold(message)
	}
	r.out = append(r.out, message...)
	if len(r.out) >= frameBytes {
		return r.flush()
	}
	return nil
}

// isWriteRefusal reports whether the message is the error of a single read that
// tried to write. It is false once a part of the answer was sent, because the
// request can't be retried then.
func (r *relay) isWriteRefusal(message ctbackend.Message) bool {
	if !r.exchange.first.SingleRead || r.flushed {
		return false
	}
	return ctbackend.ErrorCode(message) == string(ctoutcome.SQLStateReadOnlyTransaction)
}

// withhold buffers a message until the outcome of the request is certain. If more
// than maxWithheldBytes are withheld, a replica's answer is sent at once, as it
// confirms no write, and a primary's answer fails.
func (r *relay) withhold(message ctbackend.Message) error {
	if len(r.out) > 0 {
		r.withheld, r.out = append(r.withheld, r.out...), nil
	}
	r.withheld = append(r.withheld, message...)
	if len(r.withheld) <= maxWithheldBytes {
		return nil
	}
	if r.exchange.first.Term != 0 {
		return r.fail(ctoutcome.ReasonTooLarge)
	}
	r.out, r.withheld = r.withheld, nil
	return r.flush()
}

// flush sends the buffered messages to the entry proxy.
func (r *relay) flush() error {
	r.flushed = true
	err := r.exchange.stream.Write(&ctframe.Answer{Request: r.exchange.request, Payload: r.out})
	r.out = r.out[:0]
	return err
}

func (r *relay) fail(reason ctoutcome.Reason) error {
	r.failure = reason
	return cterror.New(cterror.Invalid, "the answer can't be relayed: "+string(reason), "change the request")
}
