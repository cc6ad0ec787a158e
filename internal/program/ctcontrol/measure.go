package ctcontrol

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// measureUnanswered sets the gauge of promotion requests without an answer.
func (c *Control) measureUnanswered(l *leaderState) {
	c.Metrics.UnansweredPromotions.Set(float64(l.ledger.Unanswered()))
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
