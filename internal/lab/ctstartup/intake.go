package ctstartup

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctintake"
)

// intake performs the decisions of a queue.
type intake struct {
	world *world
	queue ctintake.Queue
	last  ctintake.Ticket
	// pending holds the frames without a decision.
	pending map[ctintake.Ticket]admission
}

// admission is a frame that asks for a slot.
type admission struct {
	work      ctintake.Work
	arrivedAt time.Duration
	timeout   time.Duration
	// start handles the frame and calls end when it is done.
	start func(end func())
	// reject answers it with the time after which to try again. It is nil for work that is
	// never rejected.
	reject func(after time.Duration)
}

func newIntake(w *world, queue ctintake.Queue) *intake {
	return &intake{world: w, queue: queue, pending: make(map[ctintake.Ticket]admission)}
}

// arrive passes a frame to the queue.
func (i *intake) arrive(a admission) {
	i.last++
	i.pending[i.last] = a
	i.perform(i.queue.Step(i.world.timestamp(), ctintake.Arrival{
		Ticket: i.last, Work: a.work, Waited: i.world.now - a.arrivedAt, Timeout: a.timeout,
	}))
}

func (i *intake) perform(effects []ctintake.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ctintake.Start:
			i.start(e.Ticket)
		case ctintake.Reject:
			a := i.pending[e.Ticket]
			delete(i.pending, e.Ticket)
			a.reject(e.After)
		case ctintake.Drop:
			delete(i.pending, e.Ticket)
		}
	}
}

// start handles a frame.
func (i *intake) start(ticket ctintake.Ticket) {
	a, startedAt, ended := i.pending[ticket], i.world.now, false
	delete(i.pending, ticket)
	a.start(func() {
		if ended {
			return
		}
		ended = true
		i.perform(i.queue.Step(i.world.timestamp(), ctintake.Completion{Took: i.world.now - startedAt}))
	})
}
