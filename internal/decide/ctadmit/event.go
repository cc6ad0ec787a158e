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

// Request reports that a request wants to run. The first request of an exchange takes a
// connection as well as a slot.
type Request struct {
	Exchange Exchange
	Caller   ctid.Caller
	Deadline time.Time
}

// RequestDone reports that the exchange's request has ended; its transaction stays open, and the
// exchange keeps its connection.
type RequestDone struct {
	Exchange Exchange
}

// ExchangeDone reports that the exchange is over. Its connection is idle again if Reusable, and
// is closed otherwise.
type ExchangeDone struct {
	Exchange Exchange
	Reusable bool
}

// DialDone reports that the connection that an Admit effect had opened is ready, or failed.
type DialDone struct {
	Exchange Exchange
	Failed   bool
}

// ConnectionsLost reports that idle connections of the stated number are gone.
type ConnectionsLost struct {
	Count int
}

// Resize reports that the member's limits changed.
type Resize struct {
	Slots          int
	MaxConnections int
}

// Drain reports that the member takes no new work from this holder.
type Drain struct{}

// Resume reports that the member takes new work from this holder again.
type Resume struct{}

// Tick reports that deadlines may have passed.
type Tick struct{}

func (Request) isEvent()         {}
func (RequestDone) isEvent()     {}
func (ExchangeDone) isEvent()    {}
func (DialDone) isEvent()        {}
func (ConnectionsLost) isEvent() {}
func (Resize) isEvent()          {}
func (Drain) isEvent()           {}
func (Resume) isEvent()          {}
func (Tick) isEvent()            {}

// Effect is something to be done for a member's queue.
type Effect interface {
	isEffect()
}

// Admit asks to start the exchange's request now.
type Admit struct {
	Exchange Exchange
	// Dial reports whether a new connection must be opened for it. Otherwise
	// it takes an idle one, or the one that it has.
	Dial bool
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
