package ctcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
)

// TestReceive guards against messages to another disk that are taken for this one's, and against a
// process that lost its disk and does not learn from them whom to ask, whichever incarnation is higher.
func TestReceive(t *testing.T) {
	self, other := ctquorum.Peer{Name: "a", Incarnation: 50}, ctquorum.Peer{Name: "b", Incarnation: 1}
	events := make(chan ctquorum.Event, 1)
	r := &Replica{self: self, clock: ctclock.System{}}
	r.startWatch()
	r.pool = ctpool.Pool[ctquorum.Event]{Workers: 1, Handle: func(_ *ctlock.Held, e ctquorum.Event) { events <- e }}
	r.pool.Start()
	t.Cleanup(r.pool.Stop)
	received := ctquorum.Received{From: other, Message: ctquorum.JoinRequest{}}
	for _, c := range []struct {
		name  string
		to    ctid.Incarnation
		event ctquorum.Event
	}{
		{"this disk", self.Incarnation, received},
		{"any disk", 0, received},
		{"a disk that was lost before", self.Incarnation - 1, ctquorum.Misaddressed{From: other}},
		{"a disk that was lost while the clock was ahead", self.Incarnation + 1, ctquorum.Misaddressed{From: other}},
	} {
		t.Run(c.name, func(t *testing.T) {
			to := ctquorum.Peer{Name: self.Name, Incarnation: c.to}
			r.Receive(ctframe.NewQuorum(other, to, ctquorum.JoinRequest{}))
			// The next event, in case the message causes none.
			r.pool.Put(0, ctquorum.Tick{})
			assert.DeepEqual(t, <-events, c.event)
			assert.DeepEqual(t, <-events, ctquorum.Event(ctquorum.Tick{}))
		})
	}
}
