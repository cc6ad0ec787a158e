package ctcontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// settleInterval is the interval in which a process reports the promotions whose requests
// have ended.
const settleInterval = 500 * time.Millisecond

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
		go func() { answered <- c.callPromoter(s) }()
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
		slices.Contains(group.Unsettled, key.Promotion) && group.Requester == requester &&
		machine.CandidateHoldsLog(group)
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
// it. It sends nothing if the process was suspended since the request was begun: another
// process may lead by now.
func (c *Control) callPromoter(s *sending) ctsuccession.PromotionOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), ctpromotion.CallTimeout)
	defer cancel()
	c.logRequest(s)
	outcome, err := ctsuccession.PromotionDeferred, error(nil)
	if c.Clock.Now().Sub(s.checkedAt) < ctpromotion.AnswerTimeout {
		epoch := ctquorum.Epoch(s.requester.Epoch)
		outcome, err = c.Promoter.Promote(ctx, s.group, s.member, c.Name, epoch, c.trace(s))
	}
	now := c.Clock.Now()
	var steps sendingSteps
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
		steps = s.steps
		l.recordRequest(now, s, outcome)
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
	return outcome
}

// recordRequest records the end of a request of this process as the requester.
func (l *leaderState) recordRequest(now time.Time, s *sending, outcome ctsuccession.PromotionOutcome) {
	if outcome == ctsuccession.PromotionDeferred && s.steps.connectedAt.IsZero() {
		l.requests.RecordUnsent(s.group, s.requester)
		return
	}
	l.requests.RecordOutcome(now, s.group, s.requester, outcome)
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

// endedPromotions returns the promotions of this process's own epochs, by group, whose requests
// have ended, and the groups whose requester it need not be any more.
func (c *Control) endedPromotions(held *ctlock.Held) []*ctframe.Settled {
	var ended []*ctframe.Settled
	c.state.With(held, func(l *leaderState) {
		now := c.Clock.Now()
		for _, name := range slices.Sorted(maps.Keys(l.register.Groups)) {
			frame := l.closePromotions(now, l.register.Groups[name])
			frame.Released = c.releaseRequester(now, l, l.register.Groups[name])
			if len(frame.Ended)+len(frame.Void) > 0 || !frame.Released.IsZero() {
				ended = append(ended, frame)
			}
		}
	})
	return ended
}

// closePromotions closes those unsettled promotions of a group to further requests whose
// requests have ended, and returns them.
func (l *leaderState) closePromotions(now time.Time, group ctview.Group) *ctframe.Settled {
	frame := &ctframe.Settled{Group: group.Name}
	for _, p := range group.Unsettled {
		var observedAt time.Time
		if l.leading && ctquorum.Epoch(p.Epoch) == l.epoch {
			if group.ChangingPrimary() && group.Candidate == p.Member {
				continue
			}
			if machine, ok := l.successions[group.Name]; ok {
				observedAt = machine.PromotedAt(group, p.Member)
			}
		}
		switch l.ledger.Close(now, ctpromotion.Key{Group: group.Name, Promotion: p}, observedAt).(type) {
		case ctpromotion.Void:
			frame.Void = append(frame.Void, p)
		case ctpromotion.Ended:
			frame.Ended = append(frame.Ended, p)
		}
	}
	return frame
}

// releaseRequester returns the requester of a group if that is this process, none of its requests
// is on its way and it sends no more, and the zero value otherwise. A leader that changes the
// group's primary stays the requester.
func (c *Control) releaseRequester(now time.Time, l *leaderState, group ctview.Group) ctview.Requester {
	wanted := l.leading && group.ChangingPrimary()
	if group.Requester.Control != c.Name || wanted || !l.requests.Release(now, group.Name, group.Requester) {
		return ctview.Requester{}
	}
	return group.Requester
}

// ApplySettled releases the requester and settles the promotions without effect. The succession settles the others once
// their members' statuses show that they have had no effect since.
func (c *Control) ApplySettled(held *ctlock.Held, settled *ctframe.Settled) error {
	return c.withAuthority(held, func(now time.Time, l *leaderState) {
		if machine, ok := l.successions[settled.Group]; ok {
			machine.RecordEnded(now, settled.Ended)
		}
		if !settled.Released.IsZero() && l.group(settled.Group).Requester == settled.Released {
			c.propose(l, ctregister.ReleaseRequester{
				Group: settled.Group, Requester: settled.Released, Reason: string(ctsuccession.ReasonAnswered),
			}, nil)
		}
		if len(settled.Void) > 0 {
			c.propose(l, ctregister.SettlePromotions{
				Group: settled.Group, Promotions: settled.Void, Reason: string(ctsuccession.ReasonAnswered),
			}, nil)
		}
	})
}

// reportSettled tells the leader for which promotions the requests of this process have ended,
// until ctx ends. The leader may be this process.
func (s *Service) reportSettled(ctx context.Context) {
	var held ctlock.Held
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(settleInterval):
		}
		for _, settled := range s.control.endedPromotions(&held) {
			if err := s.sendToLeader(ctx, settled); err != nil {
				// Sent again after settleInterval, while the register lists them.
				break
			}
		}
	}
}

// logReleased logs that a group has no requester any more.
func (c *Control) logReleased(released ctregister.RequesterReleased, reason string) {
	ctlog.Decision(&c.Logger, "release_requester").
		Str("group", string(released.Name)).
		Str("requester", string(released.Requester.Control)).
		Uint64("requester_epoch", uint64(released.Requester.Epoch)).
		Str("why", reason).
		Send()
}

// logSettled logs that promotions of a group are settled.
func (c *Control) logSettled(settled ctregister.PromotionsSettled, reason string) {
	for _, p := range settled.Promotions {
		c.Metrics.PromotionsSettled.WithLabelValues(reason).Inc()
		ctlog.Decision(&c.Logger, "settle_promotion").
			Str("group", string(settled.Name)).
			Str("member", string(p.Member)).
			Uint64("epoch", uint64(p.Epoch)).
			Uint64("number", uint64(p.Number)).
			Str("why", reason).
			Send()
	}
}
