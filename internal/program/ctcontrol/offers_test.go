package ctcontrol

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// otherRequester is a requester that is not the bench's process.
var otherRequester = ctview.Requester{Control: "w", Epoch: 3, Number: 5}

// setRequester makes a process the requester in the place of the bench's.
func setRequester(b *promotionBench, requester ctview.Requester) {
	b.control.state.With(&b.held, func(l *leaderState) {
		group := l.register.Groups["g"]
		b.apply(l, ctregister.ReleaseRequester{Group: "g", Requester: group.Requester})
		group.Requester = requester
		b.apply(l, ctregister.SetGroup{Group: group, BaseTerm: group.Term, BaseFence: group.Fence})
	})
	b.task.requester = requester
}

// newOfferBench returns a bench whose leader finds another requester, and whose promoter must not
// be called.
func newOfferBench(t *testing.T) *promotionBench {
	t.Helper()
	b := newPromotionBench(func(*promotionBench) { t.Error("the leader called the service itself") })
	setRequester(b, otherRequester)
	b.control.requestPromotion(&b.held, b.task)
	return b
}

// fetchOf returns the second fetch of a process.
func fetchOf(control ctid.Control, givenUp ...ctpromotion.FetchNumber) *ctframe.FetchOffers {
	return &ctframe.FetchOffers{Fetch: ctpromotion.Fetch{Control: control, Run: 1, Number: 2, GivenUp: givenUp}}
}

// assertOffered asserts which offers a process fetches from the leader, and returns the last.
func assertOffered(t *testing.T, b *promotionBench, control ctid.Control, want int) ctpromotion.Offer {
	t.Helper()
	reply, err := b.control.FetchOffers(&b.held, fetchOf(control))
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Offers), want)
	if want == 0 {
		return ctpromotion.Offer{}
	}
	return reply.Offers[want-1]
}

// TestOfferedRequests covers the service receiving a lower epoch after a higher one: a later
// leader sends nothing while another process is the requester.
func TestOfferedRequests(t *testing.T) {
	t.Run("the requester fetches a request once", func(t *testing.T) {
		b := newOfferBench(t)
		assertOffered(t, b, "y", 0)
		assert.Equal(t, assertOffered(t, b, "w", 1).Key.Promotion, b.task.promotion)
		assertOffered(t, b, "w", 0)
		assertMetric(t, b, "control_promotion_requests_unanswered", 1)
	})
	t.Run("its report ends the request", func(t *testing.T) {
		b := newOfferBench(t)
		offer := assertOffered(t, b, "w", 1)
		b.control.ReportOffer(&b.held, &ctframe.ReportOffer{Offer: offer, Outcome: ctsuccession.PromotionAccepted})
		assertMetric(t, b, "control_promotion_requests_unanswered", 0)
	})
	t.Run("a fetch that was given up ends the request", func(t *testing.T) {
		b := newOfferBench(t)
		assertOffered(t, b, "w", 1)
		_, err := b.control.FetchOffers(&b.held, fetchOf("w", 2))
		assert.NilError(t, err)
		assertMetric(t, b, "control_promotion_requests_unanswered", 0)
	})
	t.Run("a request that isn't wanted any more is not fetched", func(t *testing.T) {
		b := newOfferBench(t)
		b.set(ctview.Group{Name: "g", Primary: "c", Term: 2}, nil)
		assertOffered(t, b, "w", 0)
	})
	t.Run("a leader without authority offers nothing", func(t *testing.T) {
		b := newOfferBench(t)
		b.control.SetAuthority(time.Time{})
		_, err := b.control.FetchOffers(&b.held, fetchOf("w"))
		assert.Assert(t, err != nil)
	})
}

// TestUnreachableService covers a group without a primary: its requester can't reach the service,
// and the leader can.
func TestUnreachableService(t *testing.T) {
	b := newPromotionBench(func(*promotionBench) {})
	b.control.Promoter = unreachable{}
	outcome, unsent := b.control.callPromoter(b.control.beginPromotion(&b.held, b.task))
	assert.Equal(t, outcome, ctsuccession.PromotionDeferred)
	assert.Assert(t, unsent)
	assert.Equal(t, len(b.control.endedPromotions(&b.held)), 0)
	b.control.BecomeFollower(ctquorum.Peer{Name: "y"})
	ended := b.control.endedPromotions(&b.held)
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Released, b.task.requester)
}

// TestRequesterLeadsAgain covers a group without a primary: its requester had ended its part
// without a leader to tell, and then leads the change.
func TestRequesterLeadsAgain(t *testing.T) {
	b := newPromotionBench(func(*promotionBench) {})
	b.control.BecomeFollower(ctquorum.Peer{})
	assert.Equal(t, len(b.control.endedPromotions(&b.held)), 1)
	b.control.BecomeLeader(6)
	ended := b.control.endedPromotions(&b.held)
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Released, b.task.requester)
}

// TestOldRequesterIsReleased covers the same: a requester that has started again and can't reach the
// service keeps fetching offers in vain.
func TestOldRequesterIsReleased(t *testing.T) {
	b := newOfferBench(t)
	started := time.Now()
	time.Sleep(time.Millisecond)
	offer := assertOffered(t, b, "w", 1)
	report := &ctframe.ReportOffer{Offer: offer, Outcome: ctsuccession.PromotionDeferred, Unsent: true}
	b.control.ReportOffer(&b.held, report)
	b.control.state.With(&b.held, func(l *leaderState) {
		later := started.Add(ctsuccession.RequestLifetime)
		released := false
		for _, action := range l.successions["g"].Decide(later, l.group("g")) {
			_, release := action.(ctsuccession.ReleaseRequester)
			released = released || release
		}
		assert.Assert(t, released)
	})
}

// unreachable is a service that can't be connected to.
type unreachable struct{}

func (unreachable) Promote(
	context.Context, ctid.Group, ctid.Member, ctid.Control, ctquorum.Epoch, PromotionTrace,
) (ctsuccession.PromotionOutcome, error) {
	return ctsuccession.PromotionDeferred, errors.New("no connection")
}

// TestSendOffer covers the same on the side of the requester, which doesn't lead.
func TestSendOffer(t *testing.T) {
	// newRequester returns a bench that is the requester under an epoch and follows another
	// leader, and that leader's offer.
	newRequester := func(epoch ctview.Epoch, calls *int) (*promotionBench, ctpromotion.Offer) {
		b := newPromotionBench(func(*promotionBench) { *calls++ })
		setRequester(b, ctview.Requester{Control: "x", Epoch: epoch, Number: 9})
		b.control.BecomeFollower(ctquorum.Peer{Name: "y"})
		promotion := ctview.Promotion{Member: "b", Epoch: 6, Number: 1}
		return b, ctpromotion.Offer{
			Number: 1, Key: ctpromotion.Key{Group: "g", Promotion: promotion}, Requester: b.task.requester,
		}
	}
	// assertSent asserts whether an offer that was asked for before is sent.
	assertSent := func(t *testing.T, epoch ctview.Epoch, before time.Duration, change func(*promotionBench), want int) {
		t.Helper()
		calls := 0
		b, offer := newRequester(epoch, &calls)
		change(b)
		outcome, unsent := b.control.sendOffer(time.Now().Add(-before), offer)
		assert.Equal(t, calls, want)
		assert.Equal(t, outcome == ctsuccession.PromotionAccepted, want == 1)
		assert.Equal(t, unsent, want == 0)
	}
	nothing := func(*promotionBench) {}
	t.Run("by the requester", func(t *testing.T) { assertSent(t, 4, 0, nothing, 1) })
	t.Run("by the requester that has started again", func(t *testing.T) { assertSent(t, 2, 0, nothing, 1) })
	t.Run("not if the leader's reply came late", func(t *testing.T) {
		assertSent(t, 4, ctpromotion.AnswerTimeout, nothing, 0)
	})
	t.Run("not after another process has become the requester", func(t *testing.T) {
		assertSent(t, 4, 0, func(b *promotionBench) { setRequester(b, otherRequester) }, 0)
	})
	t.Run("not after the requester has released the group", func(t *testing.T) {
		assertSent(t, 4, 0, func(b *promotionBench) { assert.Equal(t, len(b.control.endedPromotions(&b.held)), 1) }, 0)
	})
}
