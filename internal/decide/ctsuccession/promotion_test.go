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

func TestPromotionRequests(t *testing.T) {
	t.Run("another candidate with a complete log replaces a rejected one", func(t *testing.T) {
		e := newEnvironment()
		e.members["a"].down = true
		e.members["c"].status.Received = point(100)
		e.unreachable, e.reachable = 4, 0
		e.rejects["b"] = true
		e.run(3 * time.Second)
		assertPrimary(t, e, "c", 2)
	})
	t.Run("one request is sent if the service is slow", func(t *testing.T) {
		e := newEnvironment()
		e.losePrimary()
		e.answerDelay, e.effectDelay = 900*time.Millisecond, time.Second
		e.run(5 * time.Second)
		assertPrimary(t, e, "b", 2)
		assert.Equal(t, len(e.requests), 1, "%v", e.requests)
	})
	t.Run("no primary is accepted while a second request may take effect", func(t *testing.T) {
		e := newEnvironment()
		e.losePrimary()
		e.members["c"].status.Received = point(100)
		e.effectDelay = time.Second
		for len(e.requests) < 1 {
			e.run(stepInterval)
		}
		e.members["b"].unresponsive = true
		for len(e.requests) < 2 {
			e.run(stepInterval)
		}
		e.members["b"].unresponsive = false
		for e.group.Term == 1 {
			e.run(stepInterval)
		}
		assertPrimary(t, e, "c", 3)
	})
	t.Run("the old primary under another name steps down before its promotion is requested", func(t *testing.T) {
		e := newEnvironment()
		e.losePrimary()
		e.members["A"] = &memberServer{status: ctquery.Status{Role: ctserver.RolePrimary, Term: 1, Received: point(100)}}
		e.run(3 * time.Second)
		assert.Equal(t, e.group.Term, ctposition.Term(2), "%v", e.decisions)
		assert.Equal(t, len(e.requests), 1, "%v", e.requests)
	})
	t.Run("a promotion that was rejected while the candidate was down is requested again", func(t *testing.T) {
		e := newEnvironment()
		e.losePrimary()
		e.lastAcknowledged = point(100)
		e.rejects["b"] = true
		e.run(5 * time.Second)
		assert.Assert(t, len(e.requests) > 0)
		e.rejects["b"] = false
		e.run(5 * time.Second)
		assertPrimary(t, e, "b", 2)
	})
	t.Run("another candidate is chosen if accepted requests have no effect", func(t *testing.T) {
		e := newEnvironment()
		e.members["a"].down = true
		e.members["c"].status.Received = point(100)
		e.unreachable, e.reachable = 4, 0
		e.ignores = map[ctid.Member]bool{"b": true}
		e.run(8 * time.Second)
		assertPrimary(t, e, "c", 2)
	})
	t.Run("a new leader continues with the candidate of the previous one", func(t *testing.T) {
		e := newEnvironment()
		e.group.Fence, e.group.Candidate = 2, "c"
		e.members["a"].down = true
		e.proxies = ctsuccession.NewProxyTracker(e.now)
		e.machine.Begin(e.now, e.proxies)
		e.run(6 * time.Second)
		assertPrimary(t, e, "c", 2)
	})
	t.Run("a promotion that control did not request is adopted", func(t *testing.T) {
		e := newEnvironment()
		e.members["c"].status.Role, e.members["c"].status.Term = ctserver.RolePrimary, 5
		e.run(3 * time.Second)
		assertPrimary(t, e, "c", 5)
	})
}
