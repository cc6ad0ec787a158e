package ctmodel

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// promotionTask is a promotion that a leader wants to request.
type promotionTask struct {
	promotion ctview.Promotion
	epoch     ctview.Epoch
}

// describe names the promotion.
func (t promotionTask) describe() string {
	return fmt.Sprintf("%s of epoch %d number %d", t.promotion.Member, t.epoch, t.promotion.Number)
}

func (t promotionTask) key() ctpromotion.Key {
	return ctpromotion.Key{Group: groupName, Promotion: t.promotion}
}

// startMachine creates the succession of a new leader.
func (w *world) startMachine(c *control) {
	c.ledger.Lead(c.epoch)
	c.machine = &ctsuccession.Machine{Epoch: c.epoch, LastNumber: 1}
	c.machine.Begin(w.now, c.tracker)
	for _, announcement := range w.register.Silent {
		c.machine.AddSilent(announcement)
	}
}

// sortedActions puts the actions into an order that the seed determines.
func sortedActions(actions []ctsuccession.Action) []ctsuccession.Action {
	slices.SortStableFunc(actions, func(a, b ctsuccession.Action) int {
		return cmp.Compare(recipient(a), recipient(b))
	})
	return actions
}

// recipient returns the member that an action is sent to, if any.
func recipient(action ctsuccession.Action) ctid.Member {
	switch a := action.(type) {
	case ctsuccession.SendCommand:
		return a.Member
	case ctsuccession.PromotionRequest, ctsuccession.SetGroup, ctsuccession.SettlePromotions:
	}
	return ""
}

// guardMembers returns the members that have to hold a commit.
func guardMembers(group *ctview.Group) []ctid.Member {
	return group.GuardMembers()
}

// advancePromotion starts the actions that concern promotions.
func (w *world) advancePromotion(c *control, action ctsuccession.Action) {
	switch a := action.(type) {
	case ctsuccession.PromotionRequest:
		task := promotionTask{promotion: a.Promotion, epoch: c.epoch}
		w.onControl(c, w.latency(), func() { w.requestPromotion(c, task) })
	case ctsuccession.SettlePromotions:
		c.proposedAt = w.now
		w.propose(c, ctregister.SettlePromotions{Group: groupName, Promotions: a.Promotions})
	}
}

// requestPromotion checks that a promotion may still be requested, and sends it. Between the
// two, the process may freeze.
func (w *world) requestPromotion(c *control, task promotionTask) {
	if !w.beginPromotion(c, task) {
		w.recordPromotion(c, task, ctsuccession.PromotionDeferred)
		return
	}
	r := &call{sender: c, task: task, checkedAt: w.now}
	w.freezeBeforeRequest(c)
	w.onControl(c, w.between(0, 2*time.Millisecond), func() { w.sendRequest(r) })
	w.onControl(c, outcomeTimeout, func() {
		if !r.recorded {
			r.recorded = true
			w.recordPromotion(c, task, ctsuccession.PromotionUnknown)
		}
	})
}

// beginPromotion reports whether a promotion may be requested, and counts the request if so.
func (w *world) beginPromotion(c *control, task promotionTask) bool {
	group := &c.group
	wanted := group.ChangingPrimary() && group.Candidate == task.promotion.Member &&
		slices.Contains(group.Unsettled, task.promotion) && c.machine.CandidateHoldsLog(*group)
	return wanted && c.epoch == task.epoch && c.hasAuthority(w.now) && c.ledger.Begin(task.key())
}

// endCall records the outcome of a request at its sender.
func (w *world) endCall(r *call, outcome ctsuccession.PromotionOutcome) {
	r.sender.ledger.RecordOutcome(w.now, r.task.key(), outcome)
	if !r.recorded {
		r.recorded = true
		w.recordPromotion(r.sender, r.task, outcome)
	}
}

// recordPromotion records an outcome in the succession, if its epoch goes on.
func (w *world) recordPromotion(c *control, task promotionTask, outcome ctsuccession.PromotionOutcome) {
	if c.leading && c.epoch == task.epoch {
		c.machine.RecordPromotion(w.now, task.promotion.Member, outcome)
		w.advance(c)
	}
}

// reportSettled tells the leader for which promotions the requests of a process have ended.
func (w *world) reportSettled(c *control) {
	if w.now.Before(c.settleAt) {
		return
	}
	c.settleAt = w.now.Add(settleInterval)
	ended, void := w.endedPromotions(c)
	leader, ok := w.routeToLeader(c.party())
	if len(ended)+len(void) == 0 || !ok {
		return
	}
	w.onControl(leader, w.latency(), func() {
		if !leader.hasAuthority(w.now) {
			return
		}
		leader.machine.RecordEnded(w.now, ended)
		if len(void) > 0 {
			w.propose(leader, ctregister.SettlePromotions{Group: groupName, Promotions: void})
		}
	})
}

// endedPromotions returns the promotions of a process's own epochs whose requests have ended,
// and those without an accepted request.
func (w *world) endedPromotions(c *control) (ended, void []ctview.Promotion) {
	group := c.group
	for _, p := range group.Unsettled {
		var observedAt time.Time
		if c.leading && p.Epoch == c.epoch {
			if group.ChangingPrimary() && group.Candidate == p.Member {
				continue
			}
			observedAt = c.machine.PromotedAt(group, p.Member)
		}
		switch c.ledger.Close(w.now, ctpromotion.Key{Group: groupName, Promotion: p}, observedAt).(type) {
		case ctpromotion.Void:
			void = append(void, p)
		case ctpromotion.Ended:
			ended = append(ended, p)
		}
	}
	return ended, void
}

// saveMembers makes the members durable that the leader lists, and the silent ones.
func (w *world) saveMembers(c *control) {
	current := ctregister.SetMembers{Silent: c.machine.Silent()}
	for _, name := range slices.Sorted(maps.Keys(c.roster)) {
		current.Members = append(current.Members, c.roster[name])
	}
	if !slices.Equal(current.Members, w.register.Members) || !slices.Equal(current.Silent, w.register.Silent) {
		w.propose(c, current)
	}
}
