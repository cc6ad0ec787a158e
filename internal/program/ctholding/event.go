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

// queueEvent carries an event for the member's admission queue.
type queueEvent struct {
	event ctadmit.Event
	// exchange comes with a ctadmit.Request and receives its result; nil
	// otherwise.
	exchange *exchange
	// idle is the connection that a ctadmit.ExchangeDone returns; nil for none.
	idle *ctbackend.Conn
}

// statusRead reports that the monitor has read the member's status.
type statusRead struct {
	monitor monitorNumber
	status  ctserver.Status
	// requestedAt is the time just before the status was requested.
	requestedAt time.Time
	// otherConnections is how many connections of earlier holders are still open.
	otherConnections int
}

// unreachable reports that the monitor could not read the member's status.
type unreachable struct {
	monitor monitorNumber
	// down reports that the connection was refused, so that the process is gone.
	down bool
}

// lockChanged reports that the monitor has acquired or lost the holder's lock.
type lockChanged struct {
	monitor          monitorNumber
	acquired         bool
	otherConnections int
}

// positionReceived reports that the primary's holder returned the group's
// position. The log had reached point at some time after requestedAt.
type positionReceived struct {
	requestedAt time.Time
	point       ctposition.Point
}

// committed reports that a primary has committed a write of an exchange, which
// now waits for its confirmation by replicas.
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

// waitRequested adds a waiter for the member to reach a point.
type waitRequested struct {
	// entry goes into the member's wait list. It states the point and the deadline.
	entry ctwatch.Waiter
	// waiter receives the waitEnded result.
	waiter waiter
}

// connectionFailed reports that a connection to the member failed. The member's
// status is then read at once.
type connectionFailed struct{}

// ticked makes the member check its deadlines.
type ticked struct {
	// updateMetrics reports whether to update the member's metrics, too.
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

// result is the outcome of an event for the exchange or other waiter behind it.
type result interface {
	isResult()
}

// admitted allows the exchange to run its request now.
type admitted struct {
	// idle is the connection to use. If it is nil, the exchange uses the
	// connection that it has, or opens one.
	idle *ctbackend.Conn
	// waited is how long the request waited in the queue.
	waited time.Duration
}

// refused reports that the request must not run.
type refused struct {
	reason     ctoutcome.Reason
	retryAfter time.Duration
}

// writeConfirmed reports that the commit may be acknowledged.
type writeConfirmed struct{}

// outcomeUnknown reports that the commit was not confirmed, so that a failover
// may lose it.
type outcomeUnknown struct {
	reason ctoutcome.Reason
}

// waitEnded ends a wait for a point, with the member's last known status.
type waitEnded struct {
	// timedOut reports that the member did not reach the point in time, or is no
	// longer held.
	timedOut bool
	status   ctserver.Status
}

func (admitted) isResult()       {}
func (refused) isResult()        {}
func (writeConfirmed) isResult() {}
func (outcomeUnknown) isResult() {}
func (waitEnded) isResult()      {}

// waiter receives the results of its events.
type waiter interface {
	// deliver is called by a worker, which must not be blocked, with no table
	// locked.
	deliver(r result)
}
