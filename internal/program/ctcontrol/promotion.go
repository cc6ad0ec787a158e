package ctcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// requestPromotion requests a promotion and records the outcome in the succession. Without
// an answer within ctpromotion.AnswerTimeout it records an unknown outcome. If another
// process is the group's requester, it offers the request to that one.
func (c *Control) requestPromotion(held *ctlock.Held, t memberTask) {
	if t.requester.Control != c.Name {
		c.offerPromotion(held, t)
		return
	}
	outcome := ctsuccession.PromotionDeferred
	if s := c.beginPromotion(held, t); s != nil {
		answered := make(chan ctsuccession.PromotionOutcome, 1)
		go func() {
			outcome, _ := c.callPromoter(s)
			answered <- outcome
		}()
		select {
		case outcome = <-answered:
		case <-c.Clock.After(ctpromotion.AnswerTimeout):
			outcome = ctsuccession.PromotionUnknown
		}
	}
	c.recordResult(held, t, func(now time.Time, machine *ctsuccession.Machine) {
		machine.RecordPromotion(now, t.member, outcome)
	})
}

// beginPromotion returns a promotion request and counts it as sent, or returns nil if the
// promotion may not be requested now. The group's decision may have changed since the task was
// queued.
func (c *Control) beginPromotion(held *ctlock.Held, t memberTask) *sending {
	var s *sending
	c.state.With(held, func(l *leaderState) {
		now := c.Clock.Now()
		if l.wantsPromotion(now, t.key(), t.requester) && l.beginRequest(now, t) {
			s = l.newSending(now, t)
		}
		c.measureUnanswered(l)
	})
	return s
}

// wantsPromotion reports whether this process leads and its decision on a group is that the
// requester requests a promotion.
func (l *leaderState) wantsPromotion(now time.Time, key ctpromotion.Key, requester ctview.Requester) bool {
	group := l.group(key.Group)
	machine, ok := l.successions[key.Group]
	return ok && l.hasAuthority(now) && l.epoch == ctquorum.Epoch(key.Promotion.Epoch) &&
		group.ChangingPrimary() && group.Candidate == key.Promotion.Member &&
		slices.Contains(group.Unsettled, key.Promotion) && machine.CandidateHoldsLog(group) &&
		group.Requester == requester && machine.MayRequest(requester)
}

// beginRequest counts a request of the leader as sent. It returns false if the promotion is
// closed or the requester is released.
func (l *leaderState) beginRequest(now time.Time, t memberTask) bool {
	if !l.ledger.Begin(t.key()) {
		return false
	}
	if !l.requests.Begin(t.group, t.requester) {
		l.ledger.RecordOutcome(now, t.key(), ctsuccession.PromotionDeferred)
		return false
	}
	if ctquorum.Epoch(t.requester.Epoch) != l.epoch {
		l.successions[t.group].RecordHandOut(now)
	}
	return true
}

// callPromoter calls the service under the requester's epoch, records the outcome and returns
// it, and whether nothing was sent. It sends nothing if the process was suspended since the
// request was begun: another process may lead by now.
func (c *Control) callPromoter(s *sending) (outcome ctsuccession.PromotionOutcome, unsent bool) {
	ctx, cancel := context.WithTimeout(context.Background(), ctpromotion.CallTimeout)
	defer cancel()
	c.logRequest(s)
	outcome = ctsuccession.PromotionDeferred
	var err error
	if s.inTime(c.Clock.Now()) {
		epoch := ctquorum.Epoch(s.requester.Epoch)
		outcome, err = c.Promoter.Promote(ctx, s.group, s.member, c.Name, epoch, c.trace(s))
	}
	now := c.Clock.Now()
	var steps sendingSteps
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
		steps = s.steps
		unsent = l.recordRequest(now, s, outcome)
		if !s.offered {
			l.ledger.RecordOutcome(now, s.key(), outcome)
		}
		c.measureUnanswered(l)
		if !s.offered && l.isObsolete(s.memberTask) {
			c.logLateAnswer(l, s.memberTask, outcome)
		}
	})
	c.measureAnswer(now, steps, outcome)
	c.logOutcome(s, now, steps, outcome, err)
	return outcome, unsent
}

// recordRequest records the end of a request of this process as the requester, and reports
// whether nothing of it was sent.
func (l *leaderState) recordRequest(
	now time.Time, s *sending, outcome ctsuccession.PromotionOutcome,
) (unsent bool) {
	if outcome != ctsuccession.PromotionDeferred || !s.steps.connectedAt.IsZero() {
		l.requests.RecordOutcome(now, s.group, s.requester, outcome)
		return false
	}
	l.requests.RecordUnsent(s.group, s.requester)
	if machine, ok := l.successions[s.group]; ok && !s.offered && l.epoch == s.epoch {
		machine.TakeBackHandOut(s.checkedAt)
	}
	return true
}

// isObsolete reports whether nobody waits for a promotion any more: this process has stopped
// leading since the request, or the group has another primary or candidate.
func (l *leaderState) isObsolete(t memberTask) bool {
	group := l.group(t.group)
	wanted := group.Primary
	if group.ChangingPrimary() {
		wanted = group.Candidate
	}
	return !l.leading || l.epoch != t.epoch || wanted != t.member
}

// logLateAnswer warns that the service answered a request for an obsolete promotion. If it
// accepted the request, the member may become the primary of a later term.
func (c *Control) logLateAnswer(l *leaderState, t memberTask, outcome ctsuccession.PromotionOutcome) {
	group := l.group(t.group)
	c.Logger.Warn().Str("event", "promotion_answered_late").
		Str("group", string(t.group)).
		Str("member", string(t.member)).
		Uint64("epoch", uint64(t.epoch)).
		Uint64("number", uint64(t.promotion.Number)).
		Stringer("outcome", outcome).
		Bool("leading", l.leading).
		Str("primary", string(group.Primary)).
		Uint64("term", uint64(group.Term)).
		Uint64("fence", uint64(group.Fence)).
		Str("candidate", string(group.Candidate)).
		Send()
}
