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

// Opened reports that the session has started.
type Opened struct{}

// Asked reports that the caller sent a request.
type Asked struct {
	Class ctstatement.Class
	// Key is the request's idempotency key, empty where it has none.
	Key ctid.IdempotencyKey
	// BadKey reports that a key was given that can't be honoured.
	BadKey bool
}

// Answered reports that the whole answer was relayed to the caller, but for its end, which
// is held back until the Finish effect.
type Answered struct {
	// Point covers what the session has seen with this answer.
	Point ctposition.Point
	// Transaction reports whether the session is now in a transaction.
	Transaction bool
	// Before reports that the request ran when it was sent earlier.
	Before bool
}

// Refused reports that the holder refused the request, and nothing of it ran.
type Refused struct {
	Reason ctoutcome.Reason
}

// Broken reports that the way to the member failed before the answer was complete.
type Broken struct {
	Reason ctoutcome.Reason
	// Sent reports whether any byte of the request may have reached the
	// member.
	Sent bool
	// Relayed reports whether any byte of the answer reached the caller.
	Relayed bool
}

// Woken reports that the wait of a Wait effect is over.
type Woken struct{}

// Idled reports that the session's deadline of an Arm effect passed.
type Idled struct{}

// Left reports that the caller closed its connection.
type Left struct{}

// Drained reports that the proxy is to stop.
type Drained struct{}

func (Opened) isEvent()   {}
func (Asked) isEvent()    {}
func (Answered) isEvent() {}
func (Refused) isEvent()  {}
func (Broken) isEvent()   {}
func (Woken) isEvent()    {}
func (Idled) isEvent()    {}
func (Left) isEvent()     {}
func (Drained) isEvent()  {}

// Effect is something to be done for a session.
type Effect interface {
	isEffect()
}

// Send asks to send the request to the member's holder and relay the answer.
type Send struct {
	Request  ctid.Request
	Choice   Route
	ReadOnly bool
	// Key is the request's idempotency key, empty where it has none.
	Key ctid.IdempotencyKey
	// Need is what the member must hold before it serves a read.
	Need ctposition.Point
	// MaxAge is the age that the read accepts; 0 where it goes to a primary.
	MaxAge time.Duration
	// Remaining is how long the request may still wait to be started.
	Remaining time.Duration
	// Continue reports whether the request belongs to the open transaction
	// and follows its earlier requests on the same way.
	Continue bool
}

// Wait asks to send a Woken event after the stated time.
type Wait struct {
	For time.Duration
}

// Finish asks to end the request towards the caller. Ran passes the end of the answer
// on; the other outcomes are told as errors.
type Finish struct {
	Request ctid.Request
	Outcome ctoutcome.Outcome
	// Seen is the token that the caller is to present from now on.
	Seen ctposition.Point
}

// Release asks to give up the way to the member. An open transaction rolls back.
type Release struct{}

// Hangup asks to tell the caller the outcome as a fatal error and close.
type Hangup struct {
	Request ctid.Request
	Outcome ctoutcome.Outcome
	Why     HangupReason
}

// Arm asks to send an Idled event after the stated time unless the session is armed
// again before.
type Arm struct {
	For time.Duration
}

func (Send) isEffect()    {}
func (Wait) isEffect()    {}
func (Finish) isEffect()  {}
func (Release) isEffect() {}
func (Hangup) isEffect()  {}
func (Arm) isEffect()     {}

// HangupReason tells why a session ends.
type HangupReason string

// The reasons to end a session.
const (
	HangupTransactionLost HangupReason = "transaction_lost"
	HangupIdle            HangupReason = "idle_timeout"
	HangupTransactionIdle HangupReason = "transaction_idle_timeout"
	HangupDrain           HangupReason = "planned_stop"
)
