package ctintake

import "time"

// The limits of a control process.
const (
	// FrameSlots is how many frames are decoded and handled at once. With few, a message of
	// the replicated log waits for few others before the processor is given to it.
	FrameSlots = 4
	// MaxFrameWait is how long a first report may be expected to wait: half of the time after
	// which its sender gives up.
	MaxFrameWait = 350 * time.Millisecond
	// ViewSlots is how many whole views are transmitted at once, so that each arrives before
	// its receiver gives up, whatever the link.
	ViewSlots = 8
	// MaxViewWait is how long the transmission of a view may be expected to wait.
	MaxViewWait = 500 * time.Millisecond
	// ViewTime is the assumed time of the first transmissions, and MaxViewTime the longest
	// time for which one counts, in case its receiver is gone. It is a little less than the
	// time after which a receiver gives up.
	ViewTime    = 50 * time.Millisecond
	MaxViewTime = 3 * time.Second
	// AcceptRate and AcceptBurst bound the accepted connections: two of each of 300 proxies at
	// once, and then 100 a second.
	AcceptRate  = 100
	AcceptBurst = 600
	// ReservePeriod is how long an address must have had no accepted connection for one beyond
	// these bounds, and MaxReserved the number of addresses for which that is recorded.
	ReservePeriod = 10 * time.Second
	MaxReserved   = 1024
)

// NewGate returns the gate of a control process.
func NewGate() Gate {
	return Gate{
		Rate: AcceptRate, Burst: AcceptBurst, Connected: Recent{Period: ReservePeriod, Limit: MaxReserved},
	}
}
