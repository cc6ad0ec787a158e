package ctcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctintake"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// shedLogInterval is the least time between two log lines on rejected frames.
const shedLogInterval = time.Second

// intake performs the decisions of a ctintake.Queue for the streams of a process. Use
// newIntake to create one.
type intake struct {
	clock   ctclock.Clock
	logger  *zerolog.Logger
	metrics *ctmetric.Control
	state   cttable.Cell[intakeState]
}

// intakeState is a queue with the streams that wait for its decisions.
type intakeState struct {
	queue      ctintake.Queue
	lastTicket ctintake.Ticket
	// waiting holds a channel for each frame without a decision.
	waiting map[ctintake.Ticket]chan ctintake.Effect
	// rejected and dropped count frames since the last log line, which was at loggedAt.
	rejected, dropped int
	loggedAt          time.Time
}

func newIntake(
	clock ctclock.Clock, logger *zerolog.Logger, metrics *ctmetric.Control, queue ctintake.Queue,
) *intake {
	i := &intake{
		clock: clock, logger: logger, metrics: metrics, state: cttable.Cell[intakeState]{Rank: ctlock.RankIntake},
	}
	var held ctlock.Held
	i.state.With(&held, func(s *intakeState) {
		s.queue = queue
		s.waiting = make(map[ctintake.Ticket]chan ctintake.Effect)
	})
	return i
}

// enter waits for the decision on a frame. The slot is nil unless the decision is Start, and has
// to be released once the frame is handled. A frame that waits when ctx ends is dropped.
func (i *intake) enter(
	ctx context.Context, held *ctlock.Held, arrival ctintake.Arrival,
) (ctintake.Effect, *slot) {
	decided := make(chan ctintake.Effect, 1)
	begin := i.clock.Now()
	i.state.With(held, func(s *intakeState) {
		s.lastTicket++
		arrival.Ticket = s.lastTicket
		s.waiting[arrival.Ticket] = decided
		s.deliver(s.queue.Step(begin, arrival))
	})
	var effect ctintake.Effect = ctintake.Drop{Ticket: arrival.Ticket}
	select {
	case effect = <-decided:
	case <-ctx.Done():
		// A slot that is assigned from now on is never released. That does no harm, as ctx ends
		// with the process.
	}
	now := i.clock.Now()
	work, decision := workName(arrival.Work), "served"
	var entered *slot
	switch effect.(type) {
	case ctintake.Start:
		entered = &slot{intake: i, startedAt: now, released: make(chan struct{})}
	case ctintake.Reject:
		decision = "rejected"
		i.recordShed(held, now, func(s *intakeState) { s.rejected++ })
	case ctintake.Drop:
		decision = "dropped"
		i.recordShed(held, now, func(s *intakeState) { s.dropped++ })
	}
	i.metrics.Intake.WithLabelValues(work, decision).Inc()
	i.metrics.IntakeWaitSeconds.WithLabelValues(work).Observe((arrival.Waited + now.Sub(begin)).Seconds())
	return effect, entered
}

// deliver passes decisions to the streams that wait for them.
func (s *intakeState) deliver(effects []ctintake.Effect) {
	for _, effect := range effects {
		var ticket ctintake.Ticket
		switch e := effect.(type) {
		case ctintake.Start:
			ticket = e.Ticket
		case ctintake.Reject:
			ticket = e.Ticket
		case ctintake.Drop:
			ticket = e.Ticket
		}
		s.waiting[ticket] <- effect
		delete(s.waiting, ticket)
	}
}

// recordShed counts a frame that is not handled, and logs the counts at intervals.
func (i *intake) recordShed(held *ctlock.Held, now time.Time, count func(s *intakeState)) {
	var rejected, dropped, waiting int
	due := false
	i.state.With(held, func(s *intakeState) {
		count(s)
		if due = now.Sub(s.loggedAt) >= shedLogInterval; !due {
			return
		}
		rejected, dropped, waiting = s.rejected, s.dropped, s.queue.Waiting()
		s.rejected, s.dropped, s.loggedAt = 0, 0, now
	})
	if due {
		ctlog.Decision(i.logger, "shed_load").
			Int("rejected", rejected).Int("dropped", dropped).Int("waiting", waiting).Str("why", "busy").Send()
	}
}

// workName returns the name of work in metrics.
func workName(work ctintake.Work) string {
	switch work.(type) {
	case ctintake.Consensus:
		return "consensus"
	case ctintake.Renewal:
		return "renewal"
	case ctintake.FirstReport:
		return "first_report"
	case ctintake.View:
		return "view"
	}
	return "call"
}

// slot is the right to handle a frame. A nil slot is that of a frame that needs none.
type slot struct {
	intake    *intake
	startedAt time.Time
	once      sync.Once
	// released is closed when the slot is released.
	released chan struct{}
}

// release gives the slot to another frame. Only the first call has an effect.
func (s *slot) release(held *ctlock.Held) {
	if s == nil {
		return
	}
	s.once.Do(func() {
		close(s.released)
		now := s.intake.clock.Now()
		s.intake.state.With(held, func(state *intakeState) {
			state.deliver(state.queue.Step(now, ctintake.Completion{Took: now.Sub(s.startedAt)}))
		})
	})
}

// releaseAfter releases the slot after a time, unless it is released before.
func (s *slot) releaseAfter(limit time.Duration) {
	select {
	case <-s.released:
	case <-s.intake.clock.After(limit):
		var held ctlock.Held
		s.release(&held)
	}
}
