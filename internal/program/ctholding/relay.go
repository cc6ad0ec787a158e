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
	// maxHeld is how much of an answer is held back at most.
	maxHeld = 8 << 20
)

// relay passes a backend server's answer on to the entry. From the first
// CommandComplete on it holds the answer back, because that message may tell
// the caller that its write lasts.
type relay struct {
	exchange *exchange
	out      []byte
	held     []byte
	holding  bool
	flushed  bool
	// readOnly reports that a single read was refused as a write, so that
	// nothing of it ran.
	readOnly bool
	// recording reports that the answer to the writing of the request's record is
	// still to come, and before that the record was there already.
	recording bool
	before    bool
	// failed is why the relay gave up, where it did.
	failed ctoutcome.Reason
}

// HandleMessage takes one message of the answer.
func (r *relay) HandleMessage(message ctbackend.Message) error {
	if r.recorded(message) {
		return nil
	}
	if r.readOnly && message.Type() != ctbackend.TypeReadyForQuery {
		return nil
	}
	switch message.Type() {
	case ctbackend.TypeCopyIn, ctbackend.TypeCopyOut, ctbackend.TypeCopyBoth:
		return r.fail(ctoutcome.ReasonCopyNotSupported)
	case ctbackend.TypeErrorResponse:
		if r.refusedWrite(message) {
			r.readOnly = true
			return nil
		}
	case ctbackend.TypeCommandComplete, ctbackend.TypeReadyForQuery:
		r.holding = true
	}
	if r.holding {
		return r.hold(message)
	}
	r.out = append(r.out, message...)
	if len(r.out) >= frameBytes {
		return r.flush()
	}
	return nil
}

// refusedWrite reports whether the message says that a single read proved to
// write. It counts only as long as nothing of the answer went to the caller.
func (r *relay) refusedWrite(message ctbackend.Message) bool {
	if !r.exchange.open.SingleRead || r.flushed {
		return false
	}
	return ctbackend.ErrorCode(message) == string(ctoutcome.SQLStateReadOnlyTransaction)
}

func (r *relay) hold(message ctbackend.Message) error {
	if len(r.out) > 0 {
		r.held, r.out = append(r.held, r.out...), nil
	}
	r.held = append(r.held, message...)
	if len(r.held) <= maxHeld {
		return nil
	}
	if r.exchange.open.Term != 0 {
		return r.fail(ctoutcome.ReasonTooLarge)
	}
	r.out, r.held = r.held, nil
	return r.flush()
}

// flush sends what has gathered to the entry.
func (r *relay) flush() error {
	r.flushed = true
	err := r.exchange.way.Write(&ctframe.Answer{Request: r.exchange.request, Payload: r.out})
	r.out = r.out[:0]
	return err
}

func (r *relay) fail(reason ctoutcome.Reason) error {
	r.failed = reason
	return cterror.New(cterror.Invalid, "the answer can't be relayed: "+string(reason), "change the request")
}
