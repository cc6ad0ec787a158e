package ctadmit

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// Exchange numbers the ways that a holder serves, in one process.
type Exchange uint64

// Event is something that happened to a member's queue.
type Event interface {
	isEvent()
}

// Ask reports that a request wants to run. The first request of an exchange takes a
// connection as well as a slot.
type Ask struct {
	Exchange Exchange
	Caller   ctid.Caller
	Deadline time.Time
}

// Pause reports that the exchange's request has ended; its transaction stays open, and the
// exchange keeps its connection.
type Pause struct {
	Exchange Exchange
}

// Leave reports that the exchange is over. Its connection is idle again if Reusable, and
// is closed otherwise.
type Leave struct {
	Exchange Exchange
	Reusable bool
}

// Opened reports that the connection that an Admit effect had opened is ready, or failed.
type Opened struct {
	Exchange Exchange
	Failed   bool
}

// Lost reports that idle connections of the stated number are gone.
type Lost struct {
	Idle int
}

// Resize reports that the member's limits changed.
type Resize struct {
	Slots  int
	Budget int
}

// Close reports that the member takes no new work from this holder.
type Close struct{}

// Reopen reports that the member takes new work from this holder again.
type Reopen struct{}

// Tick reports that deadlines may have passed.
type Tick struct{}

func (Ask) isEvent()    {}
func (Pause) isEvent()  {}
func (Leave) isEvent()  {}
func (Opened) isEvent() {}
func (Lost) isEvent()   {}
func (Resize) isEvent() {}
func (Close) isEvent()  {}
func (Reopen) isEvent() {}
func (Tick) isEvent()   {}

// Effect is something to be done for a member's queue.
type Effect interface {
	isEffect()
}

// Admit asks to start the exchange's request now.
type Admit struct {
	Exchange Exchange
	// Open reports whether a new connection must be opened for it. Otherwise
	// it takes an idle one, or the one that it has.
	Open bool
	// Waited is how long the request waited.
	Waited time.Duration
}

// Refuse asks to tell the exchange that its request was not run.
type Refuse struct {
	Exchange Exchange
	Reason   ctoutcome.Reason
	// RetryAfter is when a slot may be free.
	RetryAfter time.Duration
}

func (Admit) isEffect()  {}
func (Refuse) isEffect() {}
