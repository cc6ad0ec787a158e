package ctintake_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctintake"
)

const timeout = 700 * time.Millisecond

// fixture is a queue with a clock. It counts the tickets.
type fixture struct {
	queue ctintake.Queue
	now   time.Time
	last  ctintake.Ticket
}

func newFixture(slots int) *fixture {
	return &fixture{
		queue: ctintake.Queue{Slots: slots, MaxWait: 100 * time.Millisecond, HandlingTime: 10 * time.Millisecond},
		now:   time.Unix(0, 0),
	}
}

// arrive lets a frame arrive and returns its ticket and the decisions.
func (f *fixture) arrive(work ctintake.Work, waited time.Duration) (ctintake.Ticket, []ctintake.Effect) {
	f.last++
	return f.last, f.queue.Step(f.now, ctintake.Arrival{
		Ticket: f.last, Work: work, Waited: waited, Timeout: timeout,
	})
}

// complete ends a frame that was handled for a time.
func (f *fixture) complete(took time.Duration) []ctintake.Effect {
	f.now = f.now.Add(took)
	return f.queue.Step(f.now, ctintake.Completion{Took: took})
}

func assertStarts(t *testing.T, effects []ctintake.Effect, tickets ...ctintake.Ticket) {
	t.Helper()
	var expected []ctintake.Effect
	for _, ticket := range tickets {
		expected = append(expected, ctintake.Start{Ticket: ticket})
	}
	assert.DeepEqual(t, effects, expected)
}

// assertRejects returns the time after which the sender is to try again.
func assertRejects(t *testing.T, effects []ctintake.Effect) time.Duration {
	t.Helper()
	assert.Equal(t, len(effects), 1)
	rejected, ok := effects[0].(ctintake.Reject)
	assert.Assert(t, ok, "%#v", effects[0])
	return rejected.After
}

// TestQueue guards against answers that come after their senders have given up, and against
// work that delays what is more urgent.
func TestQueue(t *testing.T) {
	t.Run("a frame that finds a slot is started at once", func(t *testing.T) {
		f := newFixture(1)
		ticket, effects := f.arrive(ctintake.FirstReport{}, 0)
		assertStarts(t, effects, ticket)
	})
	t.Run("messages of the replicated log need no slot", func(t *testing.T) {
		f := newFixture(1)
		f.arrive(ctintake.Call{}, 0)
		ticket, effects := f.arrive(ctintake.Consensus{}, time.Hour)
		assertStarts(t, effects, ticket)
	})
	t.Run("waiting frames are started by priority", func(t *testing.T) {
		f := newFixture(1)
		f.arrive(ctintake.Call{}, 0)
		view, _ := f.arrive(ctintake.View{}, 0)
		first, _ := f.arrive(ctintake.FirstReport{}, 0)
		renewal, _ := f.arrive(ctintake.Renewal{}, 0)
		call, _ := f.arrive(ctintake.Call{}, 0)
		for _, ticket := range []ctintake.Ticket{call, renewal, first, view} {
			assertStarts(t, f.complete(time.Millisecond), ticket)
		}
	})
	t.Run("a frame of low priority does not wait forever", func(t *testing.T) {
		f := newFixture(1)
		f.arrive(ctintake.Call{}, 0)
		view, _ := f.arrive(ctintake.View{}, 0)
		started := false
		for range 20 {
			f.arrive(ctintake.Call{}, 0)
			for _, effect := range f.complete(time.Millisecond) {
				started = started || effect == ctintake.Start{Ticket: view}
			}
		}
		assert.Assert(t, started)
	})
	t.Run("a report whose sender has given up is not answered", func(t *testing.T) {
		f := newFixture(1)
		ticket, effects := f.arrive(ctintake.Renewal{}, timeout)
		assert.DeepEqual(t, effects, []ctintake.Effect{ctintake.Drop{Ticket: ticket}})
	})
	t.Run("a sender that gives up while its report waits is not answered", func(t *testing.T) {
		f := newFixture(1)
		f.arrive(ctintake.Call{}, 0)
		ticket, _ := f.arrive(ctintake.Renewal{}, 0)
		assert.DeepEqual(t, f.complete(timeout), []ctintake.Effect{ctintake.Drop{Ticket: ticket}})
	})
	t.Run("rejected senders return one after another", func(t *testing.T) {
		f := newFixture(1)
		f.arrive(ctintake.Call{}, 0)
		for range 10 {
			f.arrive(ctintake.Call{}, 0)
		}
		previous := time.Duration(0)
		for range 5 {
			_, effects := f.arrive(ctintake.FirstReport{}, 0)
			after := assertRejects(t, effects)
			assert.Assert(t, after >= previous+10*time.Millisecond)
			previous = after
		}
	})
	t.Run("a report that extends authority is rejected only if it would be answered too late", func(t *testing.T) {
		f := newFixture(1)
		f.arrive(ctintake.Call{}, 0)
		for range 40 {
			_, effects := f.arrive(ctintake.Renewal{}, 0)
			assertStarts(t, effects)
		}
		_, effects := f.arrive(ctintake.Renewal{}, timeout/2)
		assertRejects(t, effects)
	})
}

// TestQueueProperties guards against frames that are forgotten or decided on twice, and against
// more frames in hand than slots.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		f := newFixture(slots)
		decided := make(map[ctintake.Ticket]bool)
		busy := 0
		apply := func(effects []ctintake.Effect) {
			for _, effect := range effects {
				var ticket ctintake.Ticket
				switch e := effect.(type) {
				case ctintake.Start:
					ticket = e.Ticket
					busy++
				case ctintake.Reject:
					ticket = e.Ticket
					assert.Assert(t, e.After > 0 && e.After <= 2*time.Second)
				case ctintake.Drop:
					ticket = e.Ticket
				}
				assert.Assert(t, !decided[ticket])
				decided[ticket] = true
			}
			assert.Assert(t, busy <= slots)
		}
		works := []ctintake.Work{ctintake.Call{}, ctintake.Renewal{}, ctintake.FirstReport{}, ctintake.View{}}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if busy > 0 && rapid.Bool().Draw(t, "complete") {
				busy--
				apply(f.complete(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond))
				continue
			}
			work := rapid.SampledFrom(works).Draw(t, "work")
			_, effects := f.arrive(work, time.Duration(rapid.IntRange(0, 800).Draw(t, "waited"))*time.Millisecond)
			apply(effects)
		}
		for busy > 0 {
			busy--
			apply(f.complete(time.Millisecond))
		}
		assert.Equal(t, len(decided), int(f.last))
	})
}

// TestGate guards against peers that open connections faster than a process can serve them.
func TestGate(t *testing.T) {
	const rate, burst = 100, 20
	gate := ctintake.Gate{Rate: rate, Burst: burst}
	now := time.Unix(0, 0)
	admitted := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if gate.Admit(now) {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 10*rate && admitted <= 10*rate+burst, "%d", admitted)
}
