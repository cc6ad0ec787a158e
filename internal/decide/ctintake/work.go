package ctintake

import "time"

// Work is what a frame asks of a control process. Its types are Consensus, Call, Renewal,
// FirstReport and View.
type Work interface {
	isWork()
}

// Consensus is a message of the replicated log. Without it there is no leader, and all other
// work fails.
type Consensus struct{}

// Call is a frame of another control process: an operator's call, announcements, or a batch of
// reports.
type Call struct{}

// Renewal is a report of a proxy whose reports were answered on the same stream before.
type Renewal struct{}

// FirstReport is the first report on a stream.
type FirstReport struct{}

// View is the transmission of a whole view to a proxy.
type View struct{}

func (Consensus) isWork()   {}
func (Call) isWork()        {}
func (Renewal) isWork()     {}
func (FirstReport) isWork() {}
func (View) isWork()        {}

// rank is a position in the order in which work is started.
type rank int

const (
	rankCall rank = iota
	rankRenewal
	rankFirstReport
	rankView
	rankCount
)

// rankOf returns the rank of work that may have to wait.
func rankOf(work Work) rank {
	switch work.(type) {
	case Renewal:
		return rankRenewal
	case FirstReport:
		return rankFirstReport
	case View:
		return rankView
	}
	return rankCall
}

// Ticket identifies a frame in a Queue.
type Ticket uint64

// Event is what happens to a Queue. Its types are Arrival and Completion.
type Event interface {
	isEvent()
}

// Arrival is the arrival of a frame.
type Arrival struct {
	Ticket Ticket
	Work   Work
	// Waited is how long ago the process received the frame, and Timeout how long after
	// that its sender gives up. A Timeout of 0 sets no limit.
	Waited, Timeout time.Duration
}

// Completion is the end of the handling of a frame that was started.
type Completion struct {
	// Took is how long the frame was handled.
	Took time.Duration
}

func (Arrival) isEvent()    {}
func (Completion) isEvent() {}

// Effect is a decision of a Queue. Its types are Start, Reject and Drop.
type Effect interface {
	isEffect()
}

// Start means that a frame is handled now. Unless it is Consensus, its slot is used until a
// Completion.
type Start struct {
	Ticket Ticket
}

// Reject means that a frame is not handled and that its sender is to try again after a time.
type Reject struct {
	Ticket Ticket
	After  time.Duration
}

// Drop means that a frame is not answered, because its sender has given up.
type Drop struct {
	Ticket Ticket
}

func (Start) isEffect()  {}
func (Reject) isEffect() {}
func (Drop) isEffect()   {}
