package ctcontrol

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// fetchInterval is the interval in which a requester that doesn't lead asks the leader for
// offers, while a group whose requester it is waits for a promotion.
const fetchInterval = 100 * time.Millisecond

const (
	// maxGivenUp is how many fetches that it gave up a requester names.
	maxGivenUp = 64
	// givenUpPeriod is how long a requester goes on fetching after it gave up a fetch, which the
	// leader may still answer.
	givenUpPeriod = 3 * time.Second
)

// offerPromotion offers a promotion request to the group's requester. What becomes of it is
// recorded by ReportOffer and expireOffers.
func (c *Control) offerPromotion(held *ctlock.Held, t memberTask) {
	c.state.With(held, func(l *leaderState) {
		if l.wantsPromotion(c.Clock.Now(), t.key(), t.requester) {
			l.offers.Put(c.Clock.Now(), t.key(), t.requester)
			return
		}
		c.recordOutcome(l, t.key(), ctsuccession.PromotionDeferred)
	})
}

// FetchOffers returns the requests that a process is to send as a requester. They may be sent
// from now on.
func (c *Control) FetchOffers(held *ctlock.Held, fetch *ctframe.FetchOffers) (*ctframe.FetchOffersReply, error) {
	reply := &ctframe.FetchOffersReply{}
	err := c.withAuthority(held, func(now time.Time, l *leaderState) {
		for _, outcome := range l.offers.GiveUp(fetch.Fetch) {
			c.takeBackOffer(now, l, outcome)
		}
		reply.Offers = l.offers.Fetch(now, fetch.Fetch, func(offer ctpromotion.Offer) bool {
			if !l.wantsPromotion(now, offer.Key, offer.Requester) || !l.ledger.Begin(offer.Key) {
				return false
			}
			l.successions[offer.Key.Group].RecordHandOut(now)
			return true
		})
		c.measureUnanswered(l)
	})
	return reply, err
}

// ReportOffer records the outcome of an offer of this process.
func (c *Control) ReportOffer(held *ctlock.Held, report *ctframe.ReportOffer) {
	c.state.With(held, func(l *leaderState) {
		now := c.Clock.Now()
		outcome, ok := l.offers.Report(report.Offer, report.Outcome)
		switch {
		case !ok:
		case report.Unsent:
			c.takeBackOffer(now, l, outcome)
		default:
			c.recordOffer(now, l, outcome)
		}
	})
}

// takeBackOffer records the outcome of an offer whose request was not sent.
func (c *Control) takeBackOffer(now time.Time, l *leaderState, o ctpromotion.OfferOutcome) {
	machine, ok := l.successions[o.Offer.Key.Group]
	if ok && l.epoch == ctquorum.Epoch(o.Offer.Key.Promotion.Epoch) {
		machine.TakeBackHandOut(o.FetchedAt)
	}
	c.recordOffer(now, l, o)
}

// expireOffers records the outcomes of the offers that nobody fetched or reported in time.
func (c *Control) expireOffers(now time.Time, l *leaderState) {
	for _, outcome := range l.offers.Expire(now) {
		c.recordOffer(now, l, outcome)
	}
}

// recordOffer records the outcome of an offer in the ledger and in the group's succession.
func (c *Control) recordOffer(now time.Time, l *leaderState, o ctpromotion.OfferOutcome) {
	if !o.FetchedAt.IsZero() && o.Ended {
		l.ledger.RecordOutcome(now, o.Offer.Key, o.Outcome)
		c.measureUnanswered(l)
	}
	if o.Awaited {
		c.recordOutcome(l, o.Offer.Key, o.Outcome)
	}
}

// recordOutcome records the outcome of a promotion request in the group's succession, if this
// process leads in the promotion's epoch, and lets the succession decide.
func (c *Control) recordOutcome(l *leaderState, key ctpromotion.Key, outcome ctsuccession.PromotionOutcome) {
	machine, ok := l.successions[key.Group]
	if !ok || l.epoch != ctquorum.Epoch(key.Promotion.Epoch) || !l.leading {
		return
	}
	now := c.Clock.Now()
	machine.RecordPromotion(now, key.Promotion.Member, outcome)
	c.advance(now, l, key.Group)
}

// isRequester reports whether this process doesn't lead and a group whose requester it is
// waits for a promotion.
func (c *Control) isRequester(held *ctlock.Held) bool {
	waits := false
	c.state.With(held, func(l *leaderState) {
		for _, group := range l.register.Groups {
			waits = waits || (group.Requester.Control == c.Name && group.ChangingPrimary() && group.Candidate != "")
		}
		waits = waits && !l.leading
	})
	return waits
}

// serveOffers sends the requests that leaders offer to this process, until ctx ends.
func (s *Service) serveOffers(ctx context.Context) {
	var held ctlock.Held
	fetch := ctpromotion.Fetch{Control: s.Name, Run: ctpromotion.Run(s.Clock.Now().UnixNano())}
	var nameGivenUpUntil time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(fetchInterval):
		}
		if !s.control.isRequester(&held) && !s.Clock.Now().Before(nameGivenUpUntil) {
			continue
		}
		askedAt := s.Clock.Now()
		fetch.Number++
		reply, err := s.callLeader(ctx, &ctframe.FetchOffers{Fetch: fetch})
		fetched, ok := reply.(*ctframe.FetchOffersReply)
		if err != nil || !ok {
			fetch.GivenUp = append(fetch.GivenUp, fetch.Number)
			fetch.GivenUp = fetch.GivenUp[max(0, len(fetch.GivenUp)-maxGivenUp):]
			nameGivenUpUntil = s.Clock.Now().Add(givenUpPeriod)
			continue
		}
		for _, offer := range fetched.Offers {
			go s.serveOffer(ctx, askedAt, offer)
		}
	}
}

// serveOffer sends the request of an offer, if it was fetched without delay, and reports the
// outcome to the leader until it has it.
func (s *Service) serveOffer(ctx context.Context, askedAt time.Time, offer ctpromotion.Offer) {
	report := &ctframe.ReportOffer{Offer: offer}
	report.Outcome, report.Unsent = s.control.sendOffer(askedAt, offer)
	for until := askedAt.Add(ctpromotion.CallTimeout); s.Clock.Now().Before(until); {
		if s.sendToLeader(ctx, report) == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(settleInterval):
		}
	}
}

// sendOffer sends the request of an offer that this process asked for at askedAt. It returns the
// outcome and whether nothing was sent.
func (c *Control) sendOffer(
	askedAt time.Time, offer ctpromotion.Offer,
) (outcome ctsuccession.PromotionOutcome, unsent bool) {
	t := memberTask{
		group: offer.Key.Group, member: offer.Key.Promotion.Member, promotion: offer.Key.Promotion,
		requester: offer.Requester, epoch: ctquorum.Epoch(offer.Key.Promotion.Epoch),
	}
	var held ctlock.Held
	var request *sending
	c.state.With(&held, func(l *leaderState) {
		if l.group(t.group).Requester == t.requester && l.requests.Begin(t.group, t.requester) {
			request = l.newSending(askedAt, t)
			request.offered, request.authorityExpiresAt = true, askedAt.Add(ctpromotion.AnswerTimeout)
		}
	})
	if request == nil {
		return ctsuccession.PromotionDeferred, true
	}
	return c.callPromoter(request)
}
