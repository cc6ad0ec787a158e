package ctcontrol

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// measureUnanswered sets the gauge of promotion requests without an answer.
func (c *Control) measureUnanswered(l *leaderState) {
	c.Metrics.UnansweredPromotions.Set(float64(l.ledger.Unanswered()))
}

// measureAnswer counts a promotion request that has ended, and measures the time from its
// transmission to the answer.
func (c *Control) measureAnswer(now time.Time, steps sendingSteps, outcome ctsuccession.PromotionOutcome) {
	c.Metrics.PromotionRequests.WithLabelValues(outcome.String()).Inc()
	if outcome != ctsuccession.PromotionUnknown && !steps.writtenAt.IsZero() {
		c.Metrics.PromotionAnswerSeconds.Observe(now.Sub(steps.writtenAt).Seconds())
	}
}

// measureUnsettled sets the gauge of a group's unsettled promotions after a command.
func (c *Control) measureUnsettled(l *leaderState, result ctregister.Result) {
	switch r := result.(type) {
	case ctregister.GroupSet:
		c.setUnsettled(l, r.Name)
	case ctregister.PromotionsSettled:
		c.setUnsettled(l, r.Name)
	}
}

// setUnsettled sets the gauge of a group. A group without unsettled promotions has none.
func (c *Control) setUnsettled(l *leaderState, name ctid.Group) {
	count := len(l.register.Groups[name].Unsettled)
	if count == 0 {
		c.Metrics.UnsettledPromotions.DeleteLabelValues(string(name))
		return
	}
	c.Metrics.UnsettledPromotions.WithLabelValues(string(name)).Set(float64(count))
}
