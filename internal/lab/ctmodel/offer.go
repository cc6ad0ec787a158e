package ctmodel

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
)

const (
	// fetchInterval is the interval in which a requester asks the leader for offers.
	fetchInterval = 100 * time.Millisecond
	// lateCall is how late a message about requests may arrive between processes of control.
	lateCall = 20 * time.Second
)

// callDelay returns the time that a message about requests takes between processes of control,
// and whether it arrives at all. A link may hold it, also until its sender has ended.
func (w *world) callDelay() (delay time.Duration, delivered bool) {
	if w.timeLeft() <= 0 {
		return w.latency(), true
	}
	switch roll := w.random.Float64(); {
	case roll < 0.03:
		return w.between(time.Second, lateCall), true
	case roll < 0.06:
		return 0, false
	}
	return w.latency(), true
}

// call sends a message from a process of control to another one, which calls run then.
func (w *world) call(to *control, run func()) {
	if delay, delivered := w.callDelay(); delivered {
		w.onControl(to, delay, run)
	}
}

// leaderOf returns the leader if a process of control reaches it.
func (w *world) leaderOf(c *control) (*control, bool) {
	leader := w.election.leader
	if leader == nil || !leader.leading || !leader.acts(w.now) {
		return nil, false
	}
	return leader, c == leader || w.reachable(c.party(), leader.party())
}

// offerPromotion offers a request to the requester.
func (w *world) offerPromotion(c *control, task promotionTask) {
	if w.wantsPromotion(c, task.promotion, task.requester) {
		c.offers.Put(w.now, task.key(), task.requester)
		return
	}
	w.recordPromotion(c, task.promotion, ctsuccession.PromotionDeferred)
}

// isRequester reports whether a process doesn't lead and is the requester in a change that may
// need a request.
func (c *control) isRequester() bool {
	return !c.leading && c.group.Requester.Control == c.name && c.group.ChangingPrimary() && c.group.Candidate != ""
}

// fetchOffers asks the leader for the requests that a process is to send.
func (w *world) fetchOffers(c *control) {
	if w.now.Before(c.fetchAt) || !c.isRequester() {
		return
	}
	c.fetchAt = w.now.Add(fetchInterval)
	leader, ok := w.leaderOf(c)
	if !ok {
		return
	}
	askedAt, incarnation := w.now, c.incarnation
	c.fetch.Control, c.fetch.Run = c.name, ctpromotion.Run(incarnation)
	c.fetch.Number++
	fetch, answered := c.fetch, false
	w.onControl(c, ctpromotion.AnswerTimeout, func() {
		if !answered {
			answered = true
			c.fetch.GivenUp = append(slices.Clip(c.fetch.GivenUp), fetch.Number)
		}
	})
	w.call(leader, func() {
		offers := w.handOutOffers(leader, fetch)
		if !w.reachable(leader.party(), c.party()) || c.incarnation != incarnation {
			return
		}
		w.call(c, func() {
			if answered {
				return
			}
			answered = true
			for _, offer := range offers {
				w.serveOffer(c, askedAt, offer)
			}
		})
	})
}

// handOutOffers returns the offers to a process, which may send them from now on.
func (w *world) handOutOffers(leader *control, fetch ctpromotion.Fetch) []ctpromotion.Offer {
	if !leader.hasAuthority(w.now) {
		return nil
	}
	for _, o := range leader.offers.GiveUp(fetch) {
		w.takeBackOffer(leader, o)
	}
	return leader.offers.Fetch(w.now, fetch, func(offer ctpromotion.Offer) bool {
		wanted := w.wantsPromotion(leader, offer.Key.Promotion, offer.Requester)
		if !wanted || !leader.ledger.Begin(offer.Key) {
			return false
		}
		leader.machine.RecordHandOut(w.now)
		w.trace("%s hands %v out to %s", leader.name, offer.Key.Promotion, fetch.Control)
		return true
	})
}

// serveOffer sends the request of an offer, if it was fetched without delay.
func (w *world) serveOffer(c *control, askedAt time.Time, offer ctpromotion.Offer) {
	if c.group.Requester != offer.Requester || !c.requests.Begin(groupName, offer.Requester) {
		w.reportOffer(c, offer, ctsuccession.PromotionDeferred, true)
		return
	}
	task := promotionTask{promotion: offer.Key.Promotion, requester: offer.Requester}
	r := &call{sender: c, task: task, checkedAt: w.now, offer: &offer}
	if w.now.Sub(askedAt) >= ctpromotion.AnswerTimeout {
		r.unsent = true
		w.endCall(r, ctsuccession.PromotionDeferred)
		return
	}
	w.sendChecked(r)
}

// reportOffer reports the outcome of an offer to the leader until it has it, for a while.
func (w *world) reportOffer(
	c *control, offer ctpromotion.Offer, outcome ctsuccession.PromotionOutcome, unsent bool,
) {
	until, reported := w.now.Add(ctpromotion.CallTimeout), false
	var report func()
	report = func() {
		if reported || !w.now.Before(until) {
			return
		}
		w.onControl(c, settleInterval, report)
		if leader, ok := w.leaderOf(c); ok {
			w.call(leader, func() {
				reported = true
				w.recordOffer(leader, offer, outcome, unsent)
			})
		}
	}
	report()
}

// recordOffer records the reported outcome of an offer at the leader.
func (w *world) recordOffer(
	leader *control, offer ctpromotion.Offer, outcome ctsuccession.PromotionOutcome, unsent bool,
) {
	o, ok := leader.offers.Report(offer, outcome)
	switch {
	case !ok:
	case unsent:
		w.takeBackOffer(leader, o)
	default:
		w.applyOffer(leader, o)
	}
}

// takeBackOffer records the outcome of an offer whose request was not sent.
func (w *world) takeBackOffer(leader *control, o ctpromotion.OfferOutcome) {
	if leader.epoch == o.Offer.Key.Promotion.Epoch {
		leader.machine.TakeBackHandOut(o.FetchedAt)
	}
	w.applyOffer(leader, o)
}

// expireOffers records the outcomes of the offers that nobody fetched or reported in time.
func (w *world) expireOffers(leader *control) {
	for _, o := range leader.offers.Expire(w.now) {
		w.applyOffer(leader, o)
	}
}

// applyOffer records the outcome of an offer in the ledger and the succession.
func (w *world) applyOffer(leader *control, o ctpromotion.OfferOutcome) {
	if !o.FetchedAt.IsZero() && o.Ended {
		leader.ledger.RecordOutcome(w.now, o.Offer.Key, o.Outcome)
	}
	if o.Awaited {
		w.recordPromotion(leader, o.Offer.Key.Promotion, o.Outcome)
	}
}
