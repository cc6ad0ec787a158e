package ctsession

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// Event is one of the events that Step handles.
type Event interface {
	isEvent()
}

// Started reports that the session has started. It starts the idle timer.
type Started struct{}

// RequestReceived reports that the caller sent a request.
type RequestReceived struct {
	Class ctstatement.Class
	// Key is the request's idempotency key, empty if it has none.
	Key ctid.IdempotencyKey
	// InvalidKey reports that the caller gave an idempotency key that can't be
	// used.
	InvalidKey bool
}

// Answered reports that the answer was relayed to the caller, except for its end.
// The end is held back until the Finish effect.
type Answered struct {
	// Point covers what the caller has seen or written with this answer.
	Point ctposition.Point
	// InTransaction reports whether the session is now in a transaction.
	InTransaction bool
	// Duplicate reports that an earlier try had run the request already.
	Duplicate bool
}

// Refused reports that the holder refused the request and that nothing of it ran.
type Refused struct {
	Reason ctoutcome.Reason
}

// StreamFailed reports that the stream to the member's holder failed before the
// answer was complete.
type StreamFailed struct {
	Reason ctoutcome.Reason
	// Sent reports whether any byte of the request may have reached the member.
	Sent bool
	// Relayed reports whether any byte of the answer reached the caller.
	Relayed bool
}

// RetryTimerFired reports that the delay of a StartRetryTimer effect is over.
type RetryTimerFired struct{}

// IdleTimerFired reports that the timeout of a StartIdleTimer effect has passed.
type IdleTimerFired struct{}

// CallerClosed reports that the caller closed its connection.
type CallerClosed struct{}

// DrainRequested reports that the proxy is about to stop.
type DrainRequested struct{}

// TransactionsDue reports that the proxy is about to stop and that open transactions have
// had their time. Only a request that ends its transaction is still sent.
type TransactionsDue struct{}

// RequestsDue reports that the proxy waits no longer for the answers to requests.
type RequestsDue struct{}

func (TransactionsDue) isEvent() {}
func (RequestsDue) isEvent()     {}
func (Started) isEvent()         {}
func (RequestReceived) isEvent() {}
func (Answered) isEvent()        {}
func (Refused) isEvent()         {}
func (StreamFailed) isEvent()    {}
func (RetryTimerFired) isEvent() {}
func (IdleTimerFired) isEvent()  {}
func (CallerClosed) isEvent()    {}
func (DrainRequested) isEvent()  {}

// Effect is one of the actions that the caller of Step performs for a session.
type Effect interface {
	isEffect()
}

// Send sends the request to the member's holder and relays the answer to the
// caller.
type Send struct {
	Request  ctid.Request
	Route    Route
	ReadOnly bool
	// Key is the request's idempotency key, empty if it has none.
	Key ctid.IdempotencyKey
	// MinPoint is the point that the member must have reached to serve the
	// request.
	MinPoint ctposition.Point
	// MaxAge is the greatest age of the replica's data that the read accepts. It
	// is 0 if the request goes to a primary.
	MaxAge time.Duration
	// StartTimeout is how long the request may still wait to be started.
	StartTimeout time.Duration
	// SameStream reports whether the request belongs to the open transaction and
	// must use the stream of its earlier requests.
	SameStream bool
}

// AbortRequest ends the exchange of the running request, which then fails.
type AbortRequest struct{}

// StartRetryTimer sends a RetryTimerFired event after the delay.
type StartRetryTimer struct {
	Delay time.Duration
}

// Finish ends the request for the caller. With the outcome Ran, the end of the
// answer is relayed; the other outcomes are sent to the caller as errors.
type Finish struct {
	Request ctid.Request
	Outcome ctoutcome.Outcome
	// Seen is the consistency token that the caller presents from now on.
	Seen ctposition.Point
}

// CloseStream closes the stream to the member's holder. An open transaction is
// rolled back.
type CloseStream struct{}

// Disconnect sends the outcome to the caller as a fatal error and closes the
// caller's connection.
type Disconnect struct {
	// Request is the current request. If there is none, it is the last one, which
	// has ended already and which the outcome doesn't describe.
	Request ctid.Request
	Outcome ctoutcome.Outcome
	Reason  DisconnectReason
}

// StartIdleTimer sends an IdleTimerFired event after the timeout, unless the timer
// is started again before that.
type StartIdleTimer struct {
	Timeout time.Duration
}

func (Send) isEffect()            {}
func (AbortRequest) isEffect()    {}
func (StartRetryTimer) isEffect() {}
func (Finish) isEffect()          {}
func (CloseStream) isEffect()     {}
func (Disconnect) isEffect()      {}
func (StartIdleTimer) isEffect()  {}

// DisconnectReason is why the proxy ends a session.
type DisconnectReason string

// The reasons to end a session.
const (
	DisconnectTransactionLost DisconnectReason = "transaction_lost"
	DisconnectIdle            DisconnectReason = "idle_timeout"
	DisconnectTransactionIdle DisconnectReason = "transaction_idle_timeout"
	DisconnectDrain           DisconnectReason = "planned_stop"
)
