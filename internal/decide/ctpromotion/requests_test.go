package ctpromotion_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

var requester = ctview.Requester{Control: "x", Epoch: 4, Number: 9}

// newRequests returns the requests of a process that led in epoch 4 and has count on their way.
func newRequests(t *testing.T, count int) *ctpromotion.Requests {
	t.Helper()
	var r ctpromotion.Requests
	r.Lead(4)
	for range count {
		assert.Assert(t, r.Begin("g", requester))
	}
	return &r
}

// assertRelease asserts whether the requester is released a while after start, and that no
// request is sent from then on if so.
func assertRelease(t *testing.T, r *ctpromotion.Requests, after time.Duration, want bool) {
	t.Helper()
	assert.Equal(t, r.Release(start.Add(after), "g", requester), want)
	assert.Equal(t, r.Released("g", requester), want)
	if want {
		assert.Assert(t, !r.Begin("g", requester))
	}
}

// TestRelease covers the service receiving a lower epoch after a higher one: when a process may
// leave the requests to another one.
func TestRelease(t *testing.T) {
	t.Run("without a request", func(t *testing.T) {
		assertRelease(t, newRequests(t, 0), 0, true)
	})
	t.Run("not before each request is answered", func(t *testing.T) {
		r := newRequests(t, 2)
		r.RecordOutcome(start, "g", requester, ctsuccession.PromotionAccepted)
		assertRelease(t, r, time.Hour, false)
		r.RecordOutcome(start, "g", requester, ctsuccession.PromotionRejected)
		assertRelease(t, r, time.Hour, true)
	})
	t.Run("not within a turn of the last answer", func(t *testing.T) {
		r := newRequests(t, 1)
		r.RecordOutcome(start, "g", requester, ctsuccession.PromotionAccepted)
		assertRelease(t, r, 4*time.Second, false)
		assertRelease(t, r, 5*time.Second, true)
	})
	t.Run("not during the lifetime of a request that lost its answer", func(t *testing.T) {
		r := newRequests(t, 2)
		r.RecordOutcome(start, "g", requester, ctsuccession.PromotionUnknown)
		r.RecordOutcome(start.Add(time.Second), "g", requester, ctsuccession.PromotionAccepted)
		assertRelease(t, r, ctsuccession.RequestLifetime-time.Second, false)
		assertRelease(t, r, ctsuccession.RequestLifetime, true)
	})
	t.Run("at once after a request that was not sent", func(t *testing.T) {
		r := newRequests(t, 1)
		r.RecordUnsent("g", requester)
		assertRelease(t, r, 0, true)
	})
	t.Run("not by a later run of the process, which may send", func(t *testing.T) {
		var r ctpromotion.Requests
		r.Lead(6)
		assertRelease(t, &r, time.Hour, false)
		assert.Assert(t, r.Begin("g", requester))
	})
	t.Run("not for later requests of the same process", func(t *testing.T) {
		r := newRequests(t, 0)
		assertRelease(t, r, 0, true)
		assert.Assert(t, r.Begin("g", ctview.Requester{Control: "x", Epoch: 4, Number: 10}))
	})
}
