package ctsuccession_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

func TestOrders(t *testing.T) {
	t.Run("a candidate that is refused gives way to another that is safe", func(t *testing.T) {
		w := newWorld()
		w.servers["a"].dead = true
		w.servers["c"].status.Received = point(100)
		w.missing, w.reaching = 4, 0
		w.refuses["b"] = true
		w.run(3 * time.Second)
		assertPrimary(t, w, "c", 2)
	})
	t.Run("one order is sent where the service is slow", func(t *testing.T) {
		w := newWorld()
		w.losePrimary()
		w.answering, w.effect = 900*time.Millisecond, time.Second
		w.run(5 * time.Second)
		assertPrimary(t, w, "b", 2)
		assert.Equal(t, len(w.orders), 1, "%v", w.orders)
	})
	t.Run("nobody leads while a second order may take effect", func(t *testing.T) {
		w := newWorld()
		w.losePrimary()
		w.servers["c"].status.Received = point(100)
		w.effect = time.Second
		for len(w.orders) < 1 {
			w.run(step)
		}
		w.servers["b"].dark = true
		for len(w.orders) < 2 {
			w.run(step)
		}
		w.servers["b"].dark = false
		for w.group.Term == 1 {
			w.run(step)
		}
		assertPrimary(t, w, "c", 3)
	})
	t.Run("the old primary under another name steps down before it is ordered", func(t *testing.T) {
		w := newWorld()
		w.losePrimary()
		w.servers["A"] = &server{status: ctquery.Status{Role: ctserver.RolePrimary, Term: 1, Received: point(100)}}
		w.run(3 * time.Second)
		assert.Equal(t, w.group.Term, ctposition.Term(2), "%v", w.sets)
		assert.Equal(t, len(w.orders), 1, "%v", w.orders)
	})
	t.Run("a candidate that was refused while it did not run is ordered again", func(t *testing.T) {
		w := newWorld()
		w.losePrimary()
		w.acknowledged = point(100)
		w.refuses["b"] = true
		w.run(5 * time.Second)
		assert.Assert(t, len(w.orders) > 0)
		w.refuses["b"] = false
		w.run(5 * time.Second)
		assertPrimary(t, w, "b", 2)
	})
	t.Run("another candidate is ordered where an accepted order has no effect", func(t *testing.T) {
		w := newWorld()
		w.servers["a"].dead = true
		w.servers["c"].status.Received = point(100)
		w.missing, w.reaching = 4, 0
		w.ignores = map[ctid.Member]bool{"b": true}
		w.run(8 * time.Second)
		assertPrimary(t, w, "c", 2)
	})
	t.Run("a new leader goes on with the candidate of the one before", func(t *testing.T) {
		w := newWorld()
		w.group.Fence, w.group.Candidate = 2, "c"
		w.servers["a"].dead = true
		w.known = ctsuccession.NewProxyTracker(w.now)
		w.machine.Begin(w.now, w.known)
		w.run(6 * time.Second)
		assertPrimary(t, w, "c", 2)
	})
	t.Run("a promotion that nobody here ordered is taken", func(t *testing.T) {
		w := newWorld()
		w.servers["c"].status.Role, w.servers["c"].status.Term = ctserver.RolePrimary, 5
		w.run(3 * time.Second)
		assertPrimary(t, w, "c", 5)
	})
}
