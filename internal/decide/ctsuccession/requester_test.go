package ctsuccession_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// earlier is the requester that the previous leader became, and startTimeout how long a new
// leader takes to its first request.
var earlier = ctview.Requester{Control: "x", Epoch: 7, Number: 1}

const startTimeout = 6 * time.Second

// newLeader returns an environment in which process y leads in epoch 8 and finds a candidate and
// a requester of the previous leader. The service does nothing.
func newLeader(requester ctview.Requester) *environment {
	e := newEnvironment()
	e.members["a"].down = true
	e.group.Fence, e.group.Candidate = 2, "c"
	e.group.Unsettled = []ctview.Promotion{{Member: "c", Epoch: 7, Number: 1}}
	e.group.Requester = requester
	e.ignores = map[ctid.Member]bool{"b": true, "c": true}
	e.proxies = ctsuccession.NewProxyTracker(e.now)
	e.machine.Control, e.machine.Epoch = "y", 8
	e.machine.Begin(e.now, e.proxies)
	return e
}

// assertRequesters asserts who has sent requests, each once, in their order.
func assertRequesters(t *testing.T, e *environment, want ...ctview.Requester) {
	t.Helper()
	got := slices.Compact(slices.Clone(e.requesters))
	assert.DeepEqual(t, got, want)
}

// TestLowerEpochAfterHigher covers the service receiving a lower epoch after a higher one for the
// same group: whose epoch a request carries while one of an earlier leader may arrive.
func TestLowerEpochAfterHigher(t *testing.T) {
	own := func(e *environment) ctview.Requester {
		return ctview.Requester{Control: "y", Epoch: 8, Number: e.group.Requester.Number}
	}
	t.Run("a leader becomes the requester of a group without one", func(t *testing.T) {
		e := newLeader(ctview.Requester{})
		e.run(startTimeout)
		assertRequesters(t, e, own(e))
		assert.Assert(t, e.group.Requester.Number > 0)
	})
	t.Run("the requester of an earlier leader stays the requester", func(t *testing.T) {
		e := newLeader(earlier)
		e.run(startTimeout)
		assertRequesters(t, e, earlier)
	})
	t.Run("its successor requests once it is released", func(t *testing.T) {
		e := newLeader(earlier)
		e.run(startTimeout)
		e.group.Requester = ctview.Requester{}
		e.run(startTimeout)
		assertRequesters(t, e, earlier, own(e))
	})
	t.Run("a requester that nobody hears is released after the lifetime of a request", func(t *testing.T) {
		e := newLeader(earlier)
		e.run(ctsuccession.RequestLifetime - time.Second)
		assertRequesters(t, e, earlier)
		e.run(startTimeout)
		assertRequesters(t, e, earlier, own(e))
	})
	t.Run("a requester that fetches requests is not released", func(t *testing.T) {
		e := newLeader(earlier)
		e.run(30 * time.Second)
		e.machine.RecordHandOut(e.now)
		e.run(50 * time.Second)
		assert.Equal(t, e.group.Requester, earlier)
		e.run(11 * time.Second)
		assertRequesters(t, e, earlier, own(e))
	})
	t.Run("a leader's own requester doesn't end with the time", func(t *testing.T) {
		e := newLeader(ctview.Requester{})
		e.run(2 * ctsuccession.RequestLifetime)
		assertRequesters(t, e, own(e))
	})
}
