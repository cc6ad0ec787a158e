package ctmodel

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
)

// Timing of promotion requests.
const (
	// maxRequestAge is how long after its check a request may be handled. It is less than
	// the time after which a leader takes an earlier leader's request for ended.
	maxRequestAge = 55 * time.Second
	// effectDelay is how long after handling a request a member leads at most.
	effectDelay = 600 * time.Millisecond
)

// call is a promotion request of a process.
type call struct {
	sender *control
	task   promotionTask
	// checkedAt is when the sender checked that it may send the request.
	checkedAt time.Time
	// offer is the offer that the sender has fetched, or nil if it leads.
	offer *ctpromotion.Offer
	// answered reports that the sender knows the outcome. recorded reports that its
	// succession goes on with one.
	answered, recorded bool
	// unsent reports that nothing of the request was sent.
	unsent bool
}

// fate is one of prompt, slow, held, lost, repeated, refused and unconnected.
type fate interface {
	isFate()
}

// prompt requests are handled at once, and repeated ones twice.
type (
	prompt   struct{}
	repeated struct{}
)

// slow requests are handled after a delay, and their answers arrive.
type slow struct {
	delay time.Duration
}

// held requests are handled after a delay. Their senders have no answer, or one that the
// connection lost.
type held struct {
	delay time.Duration
}

// lost requests are never handled, refused ones are handled as an overload, and unconnected
// ones are not sent.
type (
	lost        struct{}
	refused     struct{}
	unconnected struct{}
)

func (prompt) isFate()      {}
func (repeated) isFate()    {}
func (slow) isFate()        {}
func (held) isFate()        {}
func (lost) isFate()        {}
func (refused) isFate()     {}
func (unconnected) isFate() {}

// fateOf returns what becomes of the next request. A link that is cut holds it or loses it, if
// its sender was connected.
func (w *world) fateOf(c *control) fate {
	if c == w.severed {
		return unconnected{}
	}
	if !w.reachable(c.party(), serviceParty) {
		switch roll := w.random.Float64(); {
		case roll < 0.5:
			return held{delay: w.between(time.Second, maxRequestAge)}
		case roll < 0.7:
			return lost{}
		}
		return unconnected{}
	}
	switch roll := w.random.Float64(); {
	case roll < 0.35:
		return prompt{}
	case roll < 0.45:
		return repeated{}
	case roll < 0.65:
		return slow{delay: w.between(500*time.Millisecond, 30*time.Second)}
	case roll < 0.85:
		return held{delay: w.between(time.Second, maxRequestAge)}
	case roll < 0.92:
		return lost{}
	}
	return refused{}
}

// sendRequest sends a promotion request to the service.
func (w *world) sendRequest(r *call) {
	left := maxRequestAge - w.now.Sub(r.checkedAt)
	f := w.fateOf(r.sender)
	w.trace("%s sends request %s, fate %T%+v", r.sender.name, r.task.describe(), f, f)
	switch f := f.(type) {
	case prompt:
		w.schedule(min(left, w.latency()), func() { w.handleRequest(r, true) })
	case repeated:
		w.schedule(min(left, w.latency()), func() { w.handleRequest(r, false) })
		w.schedule(min(left, effectDelay), func() { w.handleRequest(r, true) })
	case slow:
		w.schedule(min(left, f.delay), func() { w.handleRequest(r, true) })
	case held:
		w.schedule(min(left, f.delay), func() { w.handleRequest(r, w.chance(0.5)) })
	case lost:
	case refused:
		delay := w.latency()
		w.schedule(delay, func() { w.checkRequest(r) })
		w.answerCall(r, delay, ctsuccession.PromotionDeferred)
	case unconnected:
		r.unsent = true
		w.answerCall(r, w.latency(), ctsuccession.PromotionDeferred)
	}
	w.answerCall(r, ctpromotion.CallTimeout, ctsuccession.PromotionUnknown)
	w.reactToRequest(r)
}

// handleRequest handles a request at the service.
func (w *world) handleRequest(r *call, answered bool) {
	w.checkRequest(r)
	m := w.memberNamed(r.task.promotion.Member)
	outcome := ctsuccession.PromotionAccepted
	if m.running {
		requested := r.task.describe()
		w.trace("service accepts request %s", requested)
		w.schedule(w.between(100*time.Millisecond, effectDelay), func() { w.promote(m, requested) })
	} else {
		outcome = ctsuccession.PromotionRejected
	}
	if answered {
		w.answerCall(r, w.latency(), outcome)
	}
}

// answerCall delivers the outcome of a call to its sender, unless that had one before.
func (w *world) answerCall(r *call, delay time.Duration, outcome ctsuccession.PromotionOutcome) {
	w.onControl(r.sender, delay, func() {
		if !r.answered {
			r.answered = true
			w.endCall(r, outcome)
		}
	})
}
