package ctholding

import (
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// actions are what a worker does after it has unlocked the tables.
type actions struct {
	deliveries []delivery
	toClose    []*ctbackend.Conn
	sampleNow  *member
	surrender  surrender
	// urgent reports whether control should know at once.
	urgent bool
}

// surrender is a term whose lease is given up for good; its zero value is none.
type surrender struct {
	term   ctposition.Term
	reason string
}

// Why a lease is given up.
const (
	reasonPrimaryDown     = "primary_down"
	reasonWorkCompleted   = "leaving_primary_ended_its_work"
	reasonHandoverTimeout = "leaving_primary_took_too_long"
)

// delivery is an order for an exchange or another waiter.
type delivery struct {
	to     waiter
	result result
}

func (a *actions) deliver(to waiter, r result) {
	a.deliveries = append(a.deliveries, delivery{to: to, result: r})
}

func (a *actions) perform() {
	for _, t := range a.deliveries {
		t.to.deliver(t.result)
	}
	for _, c := range a.toClose {
		go c.Close()
	}
	if a.sampleNow != nil {
		a.sampleNow.sampleNow()
	}
}

// reject answers events of a member that is not held.
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
