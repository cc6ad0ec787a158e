package ctholding

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctconfirm"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctwatch"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// event is something that happened to a held member.
type event interface {
	isEvent()
}

// queueEvent passes an event on to the member's queue.
type queueEvent struct {
	event ctadmit.Event
	// exchange is given with an Ask, to be told of the decision.
	exchange *exchange
	// idle is the connection that a Leave gives back.
	idle *ctbackend.Conn
}

// statusRead reports that the monitor has read the member's status.
type statusRead struct {
	monitor monitorNumber
	status  ctserver.Status
	// requestedAt is the time before the status was asked for.
	requestedAt time.Time
	// otherConnections is how many connections earlier holders still have.
	otherConnections int
}

// unreachable reports that the monitor could not read the member's status.
type unreachable struct {
	monitor monitorNumber
	down    bool
}

// lockChanged reports that the monitor has the holder's lock, or has lost it.
type lockChanged struct {
	monitor          monitorNumber
	acquired         bool
	otherConnections int
}

// positionReceived reports that the primary's holder told the group's position.
type positionReceived struct {
	requestedAt time.Time
	point       ctposition.Point
}

// committed reports that a primary has committed what an exchange asked for.
type committed struct {
	write    ctconfirm.Write
	term     ctposition.Term
	exchange *exchange
}

// replicaReceived reports that a replica has received the log up to a point.
type replicaReceived struct {
	replica ctid.Member
	point   ctposition.Point
}

// waitRequested reports that someone waits for the member to reach a point.
type waitRequested struct {
	entry  ctwatch.Waiter
	waiter waiter
}

// connectionFailed reports that a connection to the member failed, so that its status
// should be asked for at once.
type connectionFailed struct{}

// ticked reports that deadlines may have passed.
type ticked struct {
	// updateMetrics reports whether to set the member's metrics, too.
	updateMetrics bool
}

func (queueEvent) isEvent()       {}
func (statusRead) isEvent()       {}
func (unreachable) isEvent()      {}
func (lockChanged) isEvent()      {}
func (positionReceived) isEvent() {}
func (committed) isEvent()        {}
func (replicaReceived) isEvent()  {}
func (waitRequested) isEvent()    {}
func (connectionFailed) isEvent() {}
func (ticked) isEvent()           {}

// result tells an exchange what was decided on it.
type result interface {
	isResult()
}

// admitted asks to run the request now.
type admitted struct {
	// idle is the connection to use; nil to open one, or to use the one that
	// the exchange has.
	idle   *ctbackend.Conn
	waited time.Duration
}

// refused reports that the request is not run.
type refused struct {
	reason     ctoutcome.Reason
	retryAfter time.Duration
}

// writeConfirmed reports that the commit may be acknowledged.
type writeConfirmed struct{}

// outcomeUnknown reports that it can't be told whether the commit will last.
type outcomeUnknown struct {
	reason ctoutcome.Reason
}

// waitEnded reports that the member has reached the point that was awaited, or has not in
// time.
type waitEnded struct {
	timedOut bool
	status   ctserver.Status
}

func (admitted) isResult()       {}
func (refused) isResult()        {}
func (writeConfirmed) isResult() {}
func (outcomeUnknown) isResult() {}
func (waitEnded) isResult()      {}

// waiter is told when an awaited point was reached.
type waiter interface {
	deliver(r result)
}
