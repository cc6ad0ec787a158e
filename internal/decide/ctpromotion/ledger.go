package ctpromotion

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// effectTimeout is how long after the answer an accepted request may take effect.
const effectTimeout = 5 * time.Second

// Key names a promotion in a group.
type Key struct {
	Group     ctid.Group       `cbor:"group"`
	Promotion ctview.Promotion `cbor:"promotion"`
}

// Ledger records the requests that this process has sent. Its zero value is empty and ready
// for use. It is not safe for concurrent use.
type Ledger struct {
	// epochs are those in which this process has led.
	epochs     ctset.Set[ctview.Epoch]
	promotions map[Key]*promotion
}

// promotion is the state of the requests for one promotion.
type promotion struct {
	// unanswered counts the requests that have no answer yet, lost those that have ended
	// without one, and accepted the accepted ones.
	unanswered, lost, accepted int
	// acceptedAt is when the last accepted one was answered.
	acceptedAt time.Time
	// effectiveBy is when all requests that have ended have taken effect, if they do.
	effectiveBy time.Time
	// closed reports that no request for the promotion is sent any more.
	closed bool
}

// Lead records that this process leads in an epoch.
func (l *Ledger) Lead(epoch ctview.Epoch) {
	l.epochs.Add(epoch)
}

// Begin records that a request is about to be sent. It returns false if none may be sent,
// because the promotion is closed.
func (l *Ledger) Begin(key Key) bool {
	p := l.promotionOf(key)
	if p.closed {
		return false
	}
	p.unanswered++
	return true
}

// promotionOf returns the state of a promotion and adds it if it is missing.
func (l *Ledger) promotionOf(key Key) *promotion {
	if l.promotions == nil {
		l.promotions = make(map[Key]*promotion)
	}
	p, ok := l.promotions[key]
	if !ok {
		p = &promotion{}
		l.promotions[key] = p
	}
	return p
}

// RecordOutcome records the outcome of a request. PromotionUnknown means that its answer will never
// be known.
func (l *Ledger) RecordOutcome(now time.Time, key Key, outcome ctsuccession.PromotionOutcome) {
	p, ok := l.promotions[key]
	if !ok {
		return
	}
	p.unanswered--
	switch outcome {
	case ctsuccession.PromotionUnknown:
		p.lost++
		p.extend(now.Add(ctsuccession.RequestLifetime))
	case ctsuccession.PromotionAccepted:
		p.accepted++
		p.acceptedAt = now
		p.extend(now.Add(effectTimeout))
	case ctsuccession.PromotionDeferred, ctsuccession.PromotionRejected:
	}
}

// extend postpones the time by which the requests have taken effect.
func (p *promotion) extend(until time.Time) {
	if until.After(p.effectiveBy) {
		p.effectiveBy = until
	}
}

// End is what is known of the requests for a promotion: one of Open, Void and Ended.
type End interface {
	isEnd()
}

// Open means that a request may still be handled by the service.
type Open struct{}

// Void means that no request was or can be accepted, so that the promotion has no effect.
type Void struct{}

// Ended means that no request can take effect any more, but one may have taken effect.
type Ended struct{}

func (Open) isEnd()  {}
func (Void) isEnd()  {}
func (Ended) isEnd() {}

// Close returns what is known of the requests for a promotion. Unless that is Open, it closes
// the promotion: Begin allows no further request. ObservedAt is when the promotion was first seen to have taken
// effect, or zero. The result is Open for promotions of other processes and of earlier runs of
// this one.
func (l *Ledger) Close(now time.Time, key Key, observedAt time.Time) End {
	if !l.epochs.Has(key.Promotion.Epoch) {
		return Open{}
	}
	p := l.promotionOf(key)
	onlyEffect := p.accepted == 1 && p.lost == 0 && observedAt.After(p.acceptedAt)
	if p.unanswered > 0 || (now.Before(p.effectiveBy) && !onlyEffect) {
		return Open{}
	}
	p.closed = true
	if p.accepted == 0 && p.lost == 0 {
		return Void{}
	}
	return Ended{}
}

// Unanswered returns how many requests have no answer yet.
func (l *Ledger) Unanswered() int {
	count := 0
	for _, p := range l.promotions {
		count += p.unanswered
	}
	return count
}
