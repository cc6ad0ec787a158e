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

const (
	// promotionTimeout is how long a group waits for the answer to a promotion request
	// before it goes on with an unknown outcome.
	promotionTimeout = time.Second
	// promotionCallTimeout bounds the call, which goes on after promotionTimeout: its answer
	// shows that the request can't take effect later.
	promotionCallTimeout = 60 * time.Second
	// settleInterval is the interval in which a process reports the promotions whose requests
	// have ended.
	settleInterval = 500 * time.Millisecond
)

// requestPromotion requests a promotion and records the outcome in the succession. Without
// an answer within promotionTimeout it records an unknown outcome.
func (c *Control) requestPromotion(held *ctlock.Held, t memberTask) {
	outcome := ctsuccession.PromotionDeferred
	if s := c.beginPromotion(held, t); s != nil {
		answered := make(chan ctsuccession.PromotionOutcome, 1)
		go c.callPromoter(s, answered)
		select {
		case outcome = <-answered:
		case <-c.Clock.After(promotionTimeout):
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
		group := l.group(t.group)
		machine, ok := l.successions[t.group]
		wanted := ok && group.ChangingPrimary() && group.Candidate == t.member &&
			slices.Contains(group.Unsettled, t.promotion) && machine.CandidateHoldsLog(group)
		if wanted && l.epoch == t.epoch && l.hasAuthority(now) &&
			l.ledger.Begin(ctpromotion.Key{Group: t.group, Promotion: t.promotion}) {
			s = l.newSending(now, t)
		}
		c.measureUnanswered(l)
	})
	return s
}

// callPromoter calls the service and records the outcome in the ledger. It sends nothing if
// the process was suspended since the request was begun: another process may lead by now.
func (c *Control) callPromoter(s *sending, answered chan<- ctsuccession.PromotionOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), promotionCallTimeout)
	defer cancel()
	c.logRequest(s)
	outcome, err := ctsuccession.PromotionDeferred, error(nil)
	if c.Clock.Now().Sub(s.checkedAt) < promotionTimeout {
		outcome, err = c.Promoter.Promote(ctx, s.group, s.member, c.Name, s.epoch, c.trace(s))
	}
	now := c.Clock.Now()
	var steps sendingSteps
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
		steps = s.steps
		l.ledger.RecordOutcome(now, s.key(), outcome)
		c.measureUnanswered(l)
		if l.isObsolete(s.memberTask) {
			c.logLateAnswer(l, s.memberTask, outcome)
		}
	})
	c.measureAnswer(now, steps, outcome)
	c.logOutcome(s, now, steps, outcome, err)
	answered <- outcome
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
// have ended.
func (c *Control) endedPromotions(held *ctlock.Held) []*ctframe.Settled {
	var ended []*ctframe.Settled
	c.state.With(held, func(l *leaderState) {
		now := c.Clock.Now()
		for _, name := range slices.Sorted(maps.Keys(l.register.Groups)) {
			if frame := l.closePromotions(now, l.register.Groups[name]); len(frame.Ended)+len(frame.Void) > 0 {
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

// ApplySettled settles the promotions without effect. The succession settles the others once
// their members' statuses show that they have had no effect since.
func (c *Control) ApplySettled(held *ctlock.Held, settled *ctframe.Settled) error {
	return c.withAuthority(held, func(now time.Time, l *leaderState) {
		if machine, ok := l.successions[settled.Group]; ok {
			machine.RecordEnded(now, settled.Ended)
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
