package ctholding

import (
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// The sizes of a relay.
const (
	// frameBytes is how much of an answer goes into one frame.
	frameBytes = 32 << 10
	// maxWithheldBytes is how much of an answer is held back at most.
	maxWithheldBytes = 8 << 20
)

// relay passes a backend server's answer on to the entry. From the first
// CommandComplete on it holds the answer back, because that message may tell
// the caller that its write lasts.
type relay struct {
	exchange    *exchange
	out         []byte
	withheld    []byte
	withholding bool
	flushed     bool
	// writeRefused reports that a single read was refused as a write, so that
	// nothing of it ran.
	writeRefused bool
	// awaitingRecord reports that the answer to the writing of the request's record is
	// still to come, and before that the record was there already.
	awaitingRecord bool
	duplicate      bool
	// failure is why the relay gave up, where it did.
	failure ctoutcome.Reason
}

// HandleMessage takes one message of the answer.
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

// isWriteRefusal reports whether the message says that a single read proved to
// write. It counts only as long as nothing of the answer went to the caller.
func (r *relay) isWriteRefusal(message ctbackend.Message) bool {
	if !r.exchange.first.SingleRead || r.flushed {
		return false
	}
	return ctbackend.ErrorCode(message) == string(ctoutcome.SQLStateReadOnlyTransaction)
}

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

// flush sends what has gathered to the entry.
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
