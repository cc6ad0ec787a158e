package ctsession

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// Event is something that happened to a session.
type Event interface {
	isEvent()
}

// Started reports that the session has started.
type Started struct{}

// RequestReceived reports that the caller sent a request.
type RequestReceived struct {
	Class ctstatement.Class
	// Key is the request's idempotency key, empty where it has none.
	Key ctid.IdempotencyKey
	// InvalidKey reports that a key was given that can't be honoured.
	InvalidKey bool
}

// Answered reports that the whole answer was relayed to the caller, but for its end, which
// is held back until the Finish effect.
type Answered struct {
	// Point covers what the session has seen with this answer.
	Point ctposition.Point
	// InTransaction reports whether the session is now in a transaction.
	InTransaction bool
	// Duplicate reports that the request ran when it was sent earlier.
	Duplicate bool
}

// Refused reports that the holder refused the request, and nothing of it ran.
type Refused struct {
	Reason ctoutcome.Reason
}

// StreamFailed reports that the way to the member failed before the answer was complete.
type StreamFailed struct {
	Reason ctoutcome.Reason
	// Sent reports whether any byte of the request may have reached the
	// member.
	Sent bool
	// Relayed reports whether any byte of the answer reached the caller.
	Relayed bool
}

// RetryTimerFired reports that the wait of a Wait effect is over.
type RetryTimerFired struct{}

// IdleTimerFired reports that the session's deadline of an Arm effect passed.
type IdleTimerFired struct{}

// CallerClosed reports that the caller closed its connection.
type CallerClosed struct{}

// DrainRequested reports that the proxy is to stop.
type DrainRequested struct{}

func (Started) isEvent()         {}
func (RequestReceived) isEvent() {}
func (Answered) isEvent()        {}
func (Refused) isEvent()         {}
func (StreamFailed) isEvent()    {}
func (RetryTimerFired) isEvent() {}
func (IdleTimerFired) isEvent()  {}
func (CallerClosed) isEvent()    {}
func (DrainRequested) isEvent()  {}

// Effect is something to be done for a session.
type Effect interface {
	isEffect()
}

// Send asks to send the request to the member's holder and relay the answer.
type Send struct {
	Request  ctid.Request
	Route    Route
	ReadOnly bool
	// Key is the request's idempotency key, empty where it has none.
	Key ctid.IdempotencyKey
	// MinPoint is what the member must hold before it serves a read.
	MinPoint ctposition.Point
	// MaxAge is the age that the read accepts; 0 where it goes to a primary.
	MaxAge time.Duration
	// StartTimeout is how long the request may still wait to be started.
	StartTimeout time.Duration
	// SameStream reports whether the request belongs to the open transaction
	// and follows its earlier requests on the same way.
	SameStream bool
}

// StartRetryTimer asks to send a Woken event after the stated time.
type StartRetryTimer struct {
	Delay time.Duration
}

// Finish asks to end the request towards the caller. Ran passes the end of the answer
// on; the other outcomes are told as errors.
type Finish struct {
	Request ctid.Request
	Outcome ctoutcome.Outcome
	// Seen is the token that the caller is to present from now on.
	Seen ctposition.Point
}

// CloseStream asks to give up the way to the member. An open transaction rolls back.
type CloseStream struct{}

// Disconnect asks to tell the caller the outcome as a fatal error and close.
type Disconnect struct {
	Request ctid.Request
	Outcome ctoutcome.Outcome
	Reason  DisconnectReason
}

// StartIdleTimer asks to send an Idled event after the stated time unless the session is armed
// again before.
type StartIdleTimer struct {
	Timeout time.Duration
}

func (Send) isEffect()            {}
func (StartRetryTimer) isEffect() {}
func (Finish) isEffect()          {}
func (CloseStream) isEffect()     {}
func (Disconnect) isEffect()      {}
func (StartIdleTimer) isEffect()  {}

// DisconnectReason tells why a session ends.
type DisconnectReason string

// The reasons to end a session.
const (
	DisconnectTransactionLost DisconnectReason = "transaction_lost"
	DisconnectIdle            DisconnectReason = "idle_timeout"
	DisconnectTransactionIdle DisconnectReason = "transaction_idle_timeout"
	DisconnectDrain           DisconnectReason = "planned_stop"
)
