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
	t.Run("a request that was not sent doesn't postpone its release", func(t *testing.T) {
		e := newLeader(earlier)
		e.run(30 * time.Second)
		at := e.now
		e.machine.RecordHandOut(at)
		e.machine.TakeBackHandOut(at)
		e.run(31 * time.Second)
		assertRequesters(t, e, earlier, own(e))
	})
	t.Run("nothing is handed to a requester whose release is proposed", func(t *testing.T) {
		e := newLeader(earlier)
		assert.Assert(t, e.machine.MayRequest(earlier))
		e.run(ctsuccession.RequestLifetime)
		assert.Assert(t, !e.machine.MayRequest(earlier))
		assert.Assert(t, e.machine.MayRequest(own(e)))
	})
	t.Run("a leader's own requester doesn't end with the time", func(t *testing.T) {
		e := newLeader(ctview.Requester{})
		e.run(2 * ctsuccession.RequestLifetime)
		assertRequesters(t, e, own(e))
	})
}

// TestReleaseOfEarlierRun covers the same where a process started again: the report of its earlier
// run arrives after its later run was handed a request.
func TestReleaseOfEarlierRun(t *testing.T) {
	// assertReleased asserts whether a report with a mark releases the requester.
	assertReleased := func(t *testing.T, e *environment, mark ctsuccession.Mark, want bool) {
		t.Helper()
		release, ok := e.machine.Release(e.group, earlier, mark)
		assert.Equal(t, ok, want)
		assert.Equal(t, release.Requester == earlier, want)
		assert.Equal(t, e.machine.MayRequest(earlier), !want)
	}
	t.Run("a report with the present mark releases the requester", func(t *testing.T) {
		e := newLeader(earlier)
		e.machine.RecordHandOut(e.now)
		assertReleased(t, e, e.machine.Mark(), true)
	})
	t.Run("a report from before the last hand-out does not", func(t *testing.T) {
		e := newLeader(earlier)
		mark := e.machine.Mark()
		e.machine.RecordHandOut(e.now)
		e.machine.TakeBackHandOut(e.now)
		assertReleased(t, e, mark, false)
	})
	t.Run("nor one with the mark of an earlier leader", func(t *testing.T) {
		e := newLeader(earlier)
		mark := e.machine.Mark()
		mark.Epoch--
		assertReleased(t, e, mark, false)
	})
	t.Run("nor one of another requester", func(t *testing.T) {
		e := newLeader(ctview.Requester{Control: "x", Epoch: 7, Number: 2})
		assertReleased(t, e, e.machine.Mark(), false)
	})
}
