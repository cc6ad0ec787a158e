package ctpromotion_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// fetchOf returns the second fetch of the first run of a process.
func fetchOf(control ctid.Control, givenUp ...ctpromotion.FetchNumber) ctpromotion.Fetch {
	return ctpromotion.Fetch{Control: control, Run: 1, Number: 2, GivenUp: givenUp}
}

// begin allows each request.
func begin(ctpromotion.Offer) bool { return true }

// newOffers returns the offers of a leader that has put one at start.
func newOffers() *ctpromotion.Offers {
	var o ctpromotion.Offers
	o.Put(start, key, requester)
	return &o
}

// assertFetched asserts how many offers the requester fetches, and returns the last.
func assertFetched(t *testing.T, o *ctpromotion.Offers, after time.Duration, want int) ctpromotion.Offer {
	t.Helper()
	fetched := o.Fetch(start.Add(after), fetchOf(requester.Control), begin)
	assert.Equal(t, len(fetched), want)
	if want == 0 {
		return ctpromotion.Offer{}
	}
	return fetched[want-1]
}

// assertExpired asserts the only outcome that follows from the time that has passed.
func assertExpired(
	t *testing.T, o *ctpromotion.Offers, after time.Duration,
	outcome ctsuccession.PromotionOutcome, awaited, ended bool,
) {
	t.Helper()
	outcomes := o.Expire(start.Add(after))
	assert.Equal(t, len(outcomes), 1)
	assert.Equal(t, outcomes[0].Outcome, outcome)
	assert.Equal(t, outcomes[0].Awaited, awaited)
	assert.Equal(t, outcomes[0].Ended, ended)
}

// TestCallTimeout covers a request that is handled after its lifetime, without any suspension.
func TestCallTimeout(t *testing.T) {
	longest := ctdrift.UpperBound(ctpromotion.AnswerTimeout + ctpromotion.CallTimeout)
	assert.Assert(t, longest < ctsuccession.RequestLifetime)
}

// TestOffers covers requests of unknown outcome: what a leader knows of a request that another
// process is to send.
func TestOffers(t *testing.T) {
	t.Run("an offer is fetched once, by the requester alone", func(t *testing.T) {
		o := newOffers()
		assert.Equal(t, len(o.Fetch(start, fetchOf("y"), begin)), 0)
		assert.Equal(t, assertFetched(t, o, 0, 1).Key, key)
		assertFetched(t, o, 0, 0)
	})
	t.Run("an offer whose request may not be sent is not fetched", func(t *testing.T) {
		o := newOffers()
		none := func(ctpromotion.Offer) bool { return false }
		assert.Equal(t, len(o.Fetch(start, fetchOf(requester.Control), none)), 0)
		assertExpired(t, o, ctpromotion.AnswerTimeout, ctsuccession.PromotionDeferred, true, true)
	})
	t.Run("one that nobody fetched is withdrawn and was not sent", func(t *testing.T) {
		o := newOffers()
		assert.Equal(t, len(o.Expire(start.Add(ctpromotion.AnswerTimeout/2))), 0)
		assertExpired(t, o, ctpromotion.AnswerTimeout, ctsuccession.PromotionDeferred, true, true)
		assertFetched(t, o, ctpromotion.AnswerTimeout, 0)
	})
	t.Run("a fetched one without a report has an unknown outcome, first for the group", func(t *testing.T) {
		o := newOffers()
		assertFetched(t, o, 0, 1)
		assertExpired(t, o, ctpromotion.AnswerTimeout, ctsuccession.PromotionUnknown, true, false)
		assert.Equal(t, len(o.Expire(start.Add(2*ctpromotion.AnswerTimeout))), 0)
		assertExpired(t, o, ctpromotion.CallTimeout, ctsuccession.PromotionUnknown, false, true)
	})
	t.Run("a report ends it", func(t *testing.T) {
		o := newOffers()
		offer := assertFetched(t, o, 0, 1)
		other := offer
		other.Key.Promotion.Epoch++
		_, ok := o.Report(other, ctsuccession.PromotionAccepted)
		assert.Assert(t, !ok, "an offer of another leader with the same number")
		reported, ok := o.Report(offer, ctsuccession.PromotionAccepted)
		assert.Assert(t, ok && reported.Awaited && reported.Ended)
		_, ok = o.Report(offer, ctsuccession.PromotionAccepted)
		assert.Assert(t, !ok)
	})
	t.Run("an offer that answered a fetch that was given up is not sent", func(t *testing.T) {
		o := newOffers()
		assertFetched(t, o, 0, 1)
		assert.Equal(t, len(o.GiveUp(fetchOf(requester.Control, 1))), 0)
		otherRun := fetchOf(requester.Control, 2)
		otherRun.Run++
		assert.Equal(t, len(o.GiveUp(otherRun)), 0, "the earlier run may have sent it")
		outcomes := o.GiveUp(fetchOf(requester.Control, 2))
		assert.Equal(t, len(outcomes), 1)
		assert.Equal(t, outcomes[0].Outcome, ctsuccession.PromotionDeferred)
		assert.Assert(t, outcomes[0].Awaited && outcomes[0].Ended)
	})
	t.Run("a late report counts for the promotion alone", func(t *testing.T) {
		o := newOffers()
		offer := assertFetched(t, o, 0, 1)
		assertExpired(t, o, ctpromotion.AnswerTimeout, ctsuccession.PromotionUnknown, true, false)
		reported, ok := o.Report(offer, ctsuccession.PromotionAccepted)
		assert.Assert(t, ok && !reported.Awaited && reported.Ended)
	})
}
