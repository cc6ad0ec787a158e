package ctholding

import (
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// actions collects what a worker must do for an event after it has unlocked the
// tables.
type actions struct {
	deliveries []delivery
	toClose    []*ctbackend.Conn
	// toSample is a member whose status must be read at once; nil for none.
	toSample  *member
	surrender surrender
	// urgent reports whether control needs a report at once.
	urgent bool
}

// surrender is a term whose write lease is given up and must not be renewed.
// The zero value means that no lease is surrendered.
type surrender struct {
	term   ctposition.Term
	reason string
}

// The reasons for the surrender of a lease, as they appear in the log.
const (
	reasonPrimaryDown     = "primary_down"
	reasonWorkCompleted   = "leaving_primary_ended_its_work"
	reasonHandoverTimeout = "leaving_primary_took_too_long"
)

// delivery is a result and the exchange or other waiter that receives it.
type delivery struct {
	to     waiter
	result result
}

func (a *actions) deliver(to waiter, r result) {
	a.deliveries = append(a.deliveries, delivery{to: to, result: r})
}

// perform carries the actions out. No table may be locked.
func (a *actions) perform() {
	for _, d := range a.deliveries {
		d.to.deliver(d.result)
	}
	for _, c := range a.toClose {
		go c.Close()
	}
	if a.toSample != nil {
		a.toSample.sampleNow()
	}
}

// reject answers an event of a member that this proxy does not hold.
func (a *actions) reject(e event) {
	switch e := e.(type) {
	case queueEvent:
		if e.exchange != nil {
			a.deliver(e.exchange, refused{reason: ctoutcome.ReasonNotHolder})
		}
		if e.idle != nil {
			a.toClose = append(a.toClose, e.idle)
		}
	case committed:
		a.deliver(e.exchange, outcomeUnknown{reason: ctoutcome.ReasonNotHolder})
	case waitRequested:
		a.deliver(e.waiter, waitEnded{timedOut: true})
	}
}
