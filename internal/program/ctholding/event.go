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

// queued passes an event on to the member's queue.
type queued struct {
	event ctadmit.Event
	// exchange is given with an Ask, to be told of the decision.
	exchange *exchange
	// idle is the connection that a Leave gives back.
	idle *ctbackend.Conn
}

// sampled reports that the monitor has read the member's status.
type sampled struct {
	watch  watchNumber
	status ctserver.Status
	// asked is the time before the status was asked for.
	asked time.Time
	// others is how many connections earlier holders still have.
	others int
}

// silent reports that the monitor could not read the member's status.
type silent struct {
	watch watchNumber
	down  bool
}

// locked reports that the monitor has the holder's lock, or has lost it.
type locked struct {
	watch  watchNumber
	held   bool
	others int
}

// marked reports that the primary's holder told the group's position.
type marked struct {
	asked time.Time
	point ctposition.Point
}

// committed reports that a primary has committed what an exchange asked for.
type committed struct {
	write    ctconfirm.Write
	term     ctposition.Term
	exchange *exchange
}

// confirmed reports that a replica has received the log up to a point.
type confirmed struct {
	replica ctid.Member
	point   ctposition.Point
}

// awaited reports that someone waits for the member to reach a point.
type awaited struct {
	entry  ctwatch.Waiter
	waiter waiter
}

// failed reports that a connection to the member failed, so that its status
// should be asked for at once.
type failed struct{}

// ticked reports that deadlines may have passed.
type ticked struct {
	// observe reports whether to set the member's metrics, too.
	observe bool
}

func (queued) isEvent()    {}
func (sampled) isEvent()   {}
func (silent) isEvent()    {}
func (locked) isEvent()    {}
func (marked) isEvent()    {}
func (committed) isEvent() {}
func (confirmed) isEvent() {}
func (awaited) isEvent()   {}
func (failed) isEvent()    {}
func (ticked) isEvent()    {}

// order tells an exchange what was decided on it.
type order interface {
	isOrder()
}

// start asks to run the request now.
type start struct {
	// idle is the connection to use; nil to open one, or to use the one that
	// the exchange has.
	idle   *ctbackend.Conn
	waited time.Duration
}

// refuse reports that the request is not run.
type refuse struct {
	reason     ctoutcome.Reason
	retryAfter time.Duration
}

// release reports that the commit may be acknowledged.
type release struct{}

// doubt reports that it can't be told whether the commit will last.
type doubt struct {
	reason ctoutcome.Reason
}

// reached reports that the member has reached the point that was awaited, or has not in
// time.
type reached struct {
	late   bool
	status ctserver.Status
}

func (start) isOrder()   {}
func (refuse) isOrder()  {}
func (release) isOrder() {}
func (doubt) isOrder()   {}
func (reached) isOrder() {}

// waiter is told when an awaited point was reached.
type waiter interface {
	tell(order order)
}
