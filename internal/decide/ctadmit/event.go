package ctadmit

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// Exchange identifies an exchange: a stream to a holder whose requests form one
// transaction. Numbers are unique in one process.
type Exchange uint64

// Event is something that happened to a member's queue.
type Event interface {
	isEvent()
}

// Request reports that a request arrived. It needs a slot; the first request of an
// exchange needs a connection as well.
type Request struct {
	Exchange Exchange
	Caller   ctid.Caller
	Deadline time.Time
}

// RequestDone reports that the exchange's request ended with its transaction still
// open. The exchange retains its connection, but not its slot.
type RequestDone struct {
	Exchange Exchange
}

// ExchangeDone reports that the exchange ended, possibly while its request still
// waited. Its connection becomes idle if Reusable, and is closed otherwise.
type ExchangeDone struct {
	Exchange Exchange
	Reusable bool
}

// DialDone reports the outcome of opening a connection for an Admit effect.
type DialDone struct {
	Exchange Exchange
	Failed   bool
}

// ConnectionsLost reports that Count idle connections broke or were closed.
type ConnectionsLost struct {
	Count int
}

// Resize reports new limits. Running requests and open connections above a lower
// limit are not ended.
type Resize struct {
	Slots          int
	MaxConnections int
}

// Drain reports that the member accepts no new exchanges from this holder. Open
// transactions may go on.
type Drain struct{}

// Resume reports that the member accepts new exchanges from this holder again.
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

// Effect is an action that the holder must perform for a member's queue.
type Effect interface {
	isEffect()
}

// Admit starts the exchange's request.
type Admit struct {
	Exchange Exchange
	// Dial reports whether a new connection must be opened. Otherwise the
	// request uses the exchange's connection, or an idle one if it has none.
	Dial bool
	// Waited is how long the request waited.
	Waited time.Duration
}

// Refuse rejects the exchange's request, which did not run.
type Refuse struct {
	Exchange Exchange
	Reason   ctoutcome.Reason
	// RetryAfter is the expected wait for a slot; zero if unknown.
	RetryAfter time.Duration
}

func (Admit) isEffect()  {}
func (Refuse) isEffect() {}
