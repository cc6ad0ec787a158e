package ctholding

import (
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// actions are what a worker does after it has unlocked the tables.
type actions struct {
	tellings  []telling
	closing   []*ctbackend.Conn
	hasten    *member
	surrender surrender
	// news reports whether control should know at once.
	news bool
}

// surrender is a term whose lease is given up for good; its zero value is none.
type surrender struct {
	term ctposition.Term
	why  string
}

// Why a lease is given up.
const (
	whyPrimaryDown  = "primary_down"
	whyWorkEnded    = "leaving_primary_ended_its_work"
	whyHandoverTime = "leaving_primary_took_too_long"
)

// telling is an order for an exchange or another waiter.
type telling struct {
	to    waiter
	order order
}

func (a *actions) tell(to waiter, order order) {
	a.tellings = append(a.tellings, telling{to: to, order: order})
}

func (a *actions) perform() {
	for _, t := range a.tellings {
		t.to.tell(t.order)
	}
	for _, c := range a.closing {
		go c.Close()
	}
	if a.hasten != nil {
		a.hasten.hasten()
	}
}

// reject answers events of a member that is not held.
func (a *actions) reject(e event) {
	switch e := e.(type) {
	case queued:
		if e.exchange != nil {
			a.tell(e.exchange, refuse{reason: ctoutcome.ReasonNotHolder})
		}
		if e.idle != nil {
			a.closing = append(a.closing, e.idle)
		}
	case committed:
		a.tell(e.exchange, doubt{reason: ctoutcome.ReasonNotHolder})
	case awaited:
		a.tell(e.waiter, reached{late: true})
	}
}
