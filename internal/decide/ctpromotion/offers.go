package ctpromotion

import (
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

const (
	// AnswerTimeout is how long a group waits for the answer to a promotion request before
	// it goes on with an unknown outcome.
	AnswerTimeout = time.Second
	// CallTimeout bounds a call, which goes on after AnswerTimeout: its answer shows that the
	// request can't take effect later. With AnswerTimeout, within which it begins, it is below
	// ctsuccession.RequestLifetime on any clock.
	CallTimeout = 55 * time.Second
)

// OfferNumber tells the offers of a leader apart.
type OfferNumber uint64

// Offer is a request that another process than the leader is to send, as the group's
// requester.
type Offer struct {
	Number    OfferNumber      `cbor:"number"`
	Key       Key              `cbor:"key"`
	Requester ctview.Requester `cbor:"requester"`
}

// Check returns an error of kind cterror.Invalid for the first invalid name.
func (o *Offer) Check() error {
	if err := o.Key.Group.Check(); err != nil {
		return err
	}
	if err := o.Key.Promotion.Check(); err != nil {
		return err
	}
	return o.Requester.Control.Check()
}

// Run tells the runs of a process apart.
type Run uint64

// FetchNumber counts the fetches of a run.
type FetchNumber uint64

// Fetch is a requester's request for offers. The requester sends nothing that it is handed in
// answer to a fetch that it gave up.
type Fetch struct {
	Control ctid.Control `cbor:"control"`
	Run     Run          `cbor:"run"`
	Number  FetchNumber  `cbor:"number"`
	// GivenUp lists fetches of the run that it gave up.
	GivenUp []FetchNumber `cbor:"given_up,omitempty"`
}

// offerState is an offer that has not ended.
type offerState struct {
	Offer
	putAt time.Time
	// fetchedAt is when the requester fetched the offer, or zero, and run and fetch say by
	// which fetch.
	fetchedAt time.Time
	run       Run
	fetch     FetchNumber
	// recorded reports that the group does not wait for the outcome any more.
	recorded bool
}

// Offers holds the requests that a leader offers to other processes. The zero value is empty
// and ready for use. It is not safe for concurrent use.
type Offers struct {
	last   OfferNumber
	states map[OfferNumber]*offerState
}

// Put adds an offer.
func (o *Offers) Put(now time.Time, key Key, requester ctview.Requester) {
	if o.states == nil {
		o.states = make(map[OfferNumber]*offerState)
	}
	o.last++
	o.states[o.last] = &offerState{Offer: Offer{Number: o.last, Key: key, Requester: requester}, putAt: now}
}

// Fetch returns the offers to a process that it has not fetched yet and whose requests may be
// begun, for which it calls begin. From now on these may be sent. The others stay.
func (o *Offers) Fetch(now time.Time, fetch Fetch, begin func(Offer) bool) []Offer {
	var fetched []Offer
	for _, number := range slices.Sorted(maps.Keys(o.states)) {
		state := o.states[number]
		if state.Requester.Control == fetch.Control && state.fetchedAt.IsZero() && begin(state.Offer) {
			state.fetchedAt, state.run, state.fetch = now, fetch.Run, fetch.Number
			fetched = append(fetched, state.Offer)
		}
	}
	return fetched
}

// GiveUp removes the offers that were handed out in answer to fetches which their requester gave
// up, and returns their outcomes. Their requests are not sent.
func (o *Offers) GiveUp(fetch Fetch) []OfferOutcome {
	var outcomes []OfferOutcome
	for _, number := range slices.Sorted(maps.Keys(o.states)) {
		state := o.states[number]
		ofRun := state.Requester.Control == fetch.Control && !state.fetchedAt.IsZero() && state.run == fetch.Run
		if !ofRun || !slices.Contains(fetch.GivenUp, state.fetch) {
			continue
		}
		delete(o.states, number)
		outcomes = append(outcomes, OfferOutcome{
			Offer: state.Offer, Outcome: ctsuccession.PromotionDeferred, Awaited: !state.recorded,
			FetchedAt: state.fetchedAt, Ended: true,
		})
	}
	return outcomes
}

// OfferOutcome is the outcome of an offer.
type OfferOutcome struct {
	Offer   Offer
	Outcome ctsuccession.PromotionOutcome
	// Awaited reports that the group waits for the outcome.
	Awaited bool
	// FetchedAt is when the offer was fetched, so that its request may have been sent, or
	// zero. Ended reports that the outcome is final.
	FetchedAt time.Time
	Ended     bool
}

// Report removes a fetched offer whose outcome the requester reports. It returns false if the
// offer has ended already, or if it is another leader's.
func (o *Offers) Report(offer Offer, outcome ctsuccession.PromotionOutcome) (OfferOutcome, bool) {
	state, ok := o.states[offer.Number]
	if !ok || state.Offer != offer || state.fetchedAt.IsZero() {
		return OfferOutcome{}, false
	}
	delete(o.states, offer.Number)
	return OfferOutcome{
		Offer: offer, Outcome: outcome, Awaited: !state.recorded, FetchedAt: state.fetchedAt, Ended: true,
	}, true
}

// Expire returns the outcomes that follow from the time that has passed: an offer that nobody
// fetched is withdrawn, and a fetched one without a report has an unknown outcome.
func (o *Offers) Expire(now time.Time) []OfferOutcome {
	var outcomes []OfferOutcome
	for _, number := range slices.Sorted(maps.Keys(o.states)) {
		state := o.states[number]
		outcome := OfferOutcome{Offer: state.Offer, Awaited: !state.recorded, FetchedAt: state.fetchedAt}
		switch {
		case state.fetchedAt.IsZero() && now.Sub(state.putAt) >= AnswerTimeout:
			outcome.Outcome, outcome.Ended = ctsuccession.PromotionDeferred, true
		case !state.fetchedAt.IsZero() && now.Sub(state.fetchedAt) >= CallTimeout:
			outcome.Ended = true
		case !state.fetchedAt.IsZero() && !state.recorded && now.Sub(state.fetchedAt) >= AnswerTimeout:
			state.recorded = true
		default:
			continue
		}
		if outcome.Ended {
			delete(o.states, number)
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}
