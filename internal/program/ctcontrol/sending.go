package ctcontrol

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// maxLoggedPromotions is how many earlier promotions the line on a request lists at most. The
// field unsettled counts all.
const maxLoggedPromotions = 16

// sending is a promotion request on its way to the service.
type sending struct {
	memberTask
	// checkedAt is when this process last checked that it may send the request, and
	// authorityExpiresAt until when it had authority then.
	checkedAt, authorityExpiresAt time.Time
	// unsettled are the group's other promotions that might still take effect at the check.
	unsettled []ctview.Promotion
	// offered reports that another process leads and offered the request to this one.
	offered bool
	// steps are guarded by Control.state.
	steps sendingSteps
}

// sendingSteps is what is known of the transmission of a promotion request.
type sendingSteps struct {
	// connectedAt is when the connection was open, and writtenAt when the last byte was
	// written. They are zero before.
	connectedAt, writtenAt time.Time
	// authorityLeft is how long this process's authority still lasted at writtenAt, and
	// leading reports whether it led in the epoch of the request then.
	authorityLeft time.Duration
	leading       bool
}

// newSending returns a request that may be sent at the time of its check.
func (l *leaderState) newSending(now time.Time, t memberTask) *sending {
	s := &sending{memberTask: t, checkedAt: now, authorityExpiresAt: l.authorityExpiresAt}
	for _, p := range l.group(t.group).Unsettled {
		if p != t.promotion {
			s.unsettled = append(s.unsettled, p)
		}
	}
	return s
}

// trace returns a trace that records the steps of a request.
func (c *Control) trace(s *sending) PromotionTrace {
	return PromotionTrace{
		Connected: func() bool { return c.recordConnected(s) },
		Written:   func() { c.recordWritten(s) },
	}
}

// inTime reports whether the last check of a request is recent enough to send it.
func (s *sending) inTime(now time.Time) bool {
	return now.Sub(s.checkedAt) < ctpromotion.AnswerTimeout
}

// recordConnected records that a connection is open, and reports whether the request may be
// written to it.
func (c *Control) recordConnected(s *sending) bool {
	now := c.Clock.Now()
	if !s.inTime(now) {
		return false
	}
	var held ctlock.Held
	c.state.With(&held, func(*leaderState) { s.steps.connectedAt = now })
	return true
}

// recordWritten records that a request is written. A process that doesn't lead in its epoch any
// more has the authority that it had at the check, and one that was offered the request has the
// leader's for ctpromotion.AnswerTimeout.
func (c *Control) recordWritten(s *sending) {
	now := c.Clock.Now()
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
		expiresAt := s.authorityExpiresAt
		s.steps.writtenAt = now
		s.steps.leading = l.leading && l.epoch == s.epoch
		if s.steps.leading {
			expiresAt = l.authorityExpiresAt
		}
		s.steps.authorityLeft = expiresAt.Sub(now)
		if (!s.steps.leading && !s.offered) || s.steps.authorityLeft <= 0 {
			c.Metrics.PromotionsWithoutAuthority.Inc()
		}
	})
}

// logRequest logs that a promotion request is about to be sent.
func (c *Control) logRequest(s *sending) {
	unsettled := zerolog.Arr()
	for _, p := range s.unsettled[:min(len(s.unsettled), maxLoggedPromotions)] {
		unsettled.Dict(zerolog.Dict().
			Str("member", string(p.Member)).
			Uint64("epoch", uint64(p.Epoch)).
			Uint64("number", uint64(p.Number)))
	}
	ctlog.Decision(&c.Logger, "request_promotion").
		Str("group", string(s.group)).
		Str("member", string(s.member)).
		Uint64("epoch", uint64(s.epoch)).
		Uint64("number", uint64(s.promotion.Number)).
		Uint64("requester_epoch", uint64(s.requester.Epoch)).
		Bool("offered", s.offered).
		Dur("since_check", c.Clock.Now().Sub(s.checkedAt)).
		Dur("authority", s.authorityExpiresAt.Sub(s.checkedAt)).
		Int("unsettled", len(s.unsettled)).
		Array("promotions", unsettled).
		Str("why", "candidate").
		Send()
}

// logOutcome logs how a promotion request ended. Its durations begin at the check. Those of
// steps that were not reached are missing.
func (c *Control) logOutcome(
	s *sending, now time.Time, steps sendingSteps, outcome ctsuccession.PromotionOutcome, err error,
) {
	event := ctlog.Decision(&c.Logger, "order_promotion").
		Str("group", string(s.group)).
		Str("member", string(s.member)).
		Uint64("epoch", uint64(s.epoch)).
		Uint64("number", uint64(s.promotion.Number)).
		Uint64("requester_epoch", uint64(s.requester.Epoch)).
		Uint8("outcome", uint8(outcome)).
		Dur("took", now.Sub(s.checkedAt))
	if !steps.connectedAt.IsZero() {
		event.Dur("connected", steps.connectedAt.Sub(s.checkedAt))
	}
	if !steps.writtenAt.IsZero() {
		event.Dur("written", steps.writtenAt.Sub(s.checkedAt)).
			Dur("authority", steps.authorityLeft).
			Bool("leading", steps.leading)
	}
	if err != nil {
		event.Str("error", err.Error())
	}
	event.Send()
}
