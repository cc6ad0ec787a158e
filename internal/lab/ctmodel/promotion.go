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
	requester ctview.Requester
}

// describe names the promotion.
func (t promotionTask) describe() string {
	return fmt.Sprintf("%s of epoch %d number %d by %s epoch %d",
		t.promotion.Member, t.promotion.Epoch, t.promotion.Number, t.requester.Control, t.requester.Epoch)
}

func (t promotionTask) key() ctpromotion.Key {
	return ctpromotion.Key{Group: groupName, Promotion: t.promotion}
}

// startMachine creates the succession of a new leader.
func (w *world) startMachine(c *control) {
	c.ledger.Lead(c.epoch)
	c.requests.Lead(c.epoch)
	c.machine = &ctsuccession.Machine{Control: c.name, Epoch: c.epoch, LastNumber: 1}
	c.machine.Begin(w.now, c.tracker)
	c.machine.ApplyGroup(w.decided())
	for _, announcement := range w.register.Silent {
		c.machine.AddSilent(announcement)
	}
	c.machine.RestoreLostLogs(w.register.Lost[groupName])
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
	case ctsuccession.PromotionRequest, ctsuccession.SetGroup, ctsuccession.SettlePromotions,
		ctsuccession.ReleaseRequester:
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
		task := promotionTask{promotion: a.Promotion, requester: a.Requester}
		w.onControl(c, w.latency(), func() { w.requestPromotion(c, task) })
	case ctsuccession.SettlePromotions:
		c.proposedAt = w.now
		w.propose(c, ctregister.SettlePromotions{Group: groupName, Promotions: a.Promotions})
	case ctsuccession.ReleaseRequester:
		c.proposedAt = w.now
		w.propose(c, ctregister.ReleaseRequester{Group: groupName, Requester: a.Requester, Reason: string(a.Reason)})
	}
}

// requestPromotion checks that a promotion may still be requested, and sends it. Between the
// two, the process may freeze. If another process is the requester, it is offered the request.
func (w *world) requestPromotion(c *control, task promotionTask) {
	if task.requester.Control != c.name {
		w.offerPromotion(c, task)
		return
	}
	if !w.beginPromotion(c, task) {
		w.recordPromotion(c, task.promotion, ctsuccession.PromotionDeferred)
		return
	}
	r := &call{sender: c, task: task, checkedAt: w.now}
	w.sendChecked(r)
	w.onControl(c, ctpromotion.AnswerTimeout, func() {
		if !r.recorded {
			r.recorded = true
			w.recordPromotion(c, task.promotion, ctsuccession.PromotionUnknown)
		}
	})
}

// sendChecked sends a request that was just checked, unless its sender freezes first.
func (w *world) sendChecked(r *call) {
	w.freezeBeforeRequest(r.sender)
	w.onControl(r.sender, w.between(0, 2*time.Millisecond), func() { w.sendRequest(r) })
}

// wantsPromotion reports whether a process leads and wants a requester to send a request.
func (w *world) wantsPromotion(c *control, promotion ctview.Promotion, requester ctview.Requester) bool {
	group := &c.group
	return c.hasAuthority(w.now) && c.epoch == promotion.Epoch && group.ChangingPrimary() &&
		group.Candidate == promotion.Member && slices.Contains(group.Unsettled, promotion) &&
		group.Requester == requester && c.machine.MayRequest(requester) && c.machine.CandidateHoldsLog(*group)
}

// beginPromotion reports whether the leader may send a request, and counts it if so.
func (w *world) beginPromotion(c *control, task promotionTask) bool {
	if !w.wantsPromotion(c, task.promotion, task.requester) || !c.ledger.Begin(task.key()) {
		return false
	}
	if !c.requests.Begin(groupName, task.requester) {
		c.ledger.RecordOutcome(w.now, task.key(), ctsuccession.PromotionDeferred)
		return false
	}
	if task.requester.Epoch != c.epoch {
		c.machine.RecordHandOut(w.now)
	}
	return true
}

// endCall records the outcome of a request at its sender.
func (w *world) endCall(r *call, outcome ctsuccession.PromotionOutcome) {
	c := r.sender
	if r.unsent {
		c.requests.RecordUnsent(groupName, r.task.requester)
	} else {
		c.requests.RecordOutcome(w.now, groupName, r.task.requester, outcome)
	}
	if r.offer != nil {
		w.reportOffer(c, *r.offer, outcome, r.unsent)
		return
	}
	if r.unsent && c.leading && c.epoch == r.task.promotion.Epoch {
		c.machine.TakeBackHandOut(r.checkedAt)
	}
	c.ledger.RecordOutcome(w.now, r.task.key(), outcome)
	if !r.recorded {
		r.recorded = true
		w.recordPromotion(c, r.task.promotion, outcome)
	}
}

// recordPromotion records an outcome in the succession, if its epoch goes on.
func (w *world) recordPromotion(c *control, promotion ctview.Promotion, outcome ctsuccession.PromotionOutcome) {
	if c.leading && c.epoch == promotion.Epoch {
		c.machine.RecordPromotion(w.now, promotion.Member, outcome)
		w.advance(c)
	}
}

// settled is what a process reports to the leader: the promotions whose requests have ended,
// those without an accepted request, and the requester that it need not be any more.
type settled struct {
	ended, void []ctview.Promotion
	released    ctview.Requester
	// mark is that of the leader's last reply.
	mark ctsuccession.Mark
}

// reportSettled reports to the leader what has ended.
func (w *world) reportSettled(c *control) {
	if w.now.Before(c.settleAt) {
		return
	}
	c.settleAt = w.now.Add(settleInterval)
	s := settled{released: w.releaseRequester(c), mark: c.mark}
	s.ended, s.void = w.endedPromotions(c)
	leader, ok := w.leaderOf(c)
	if (len(s.ended)+len(s.void) == 0 && s.released.IsZero()) || !ok {
		return
	}
	delay, delivered := w.callDelay()
	if !s.released.IsZero() && w.crashesAfterRelease(c) {
		delay, delivered = w.between(time.Second, lateCall), true
	}
	if !delivered {
		return
	}
	incarnation := c.incarnation
	w.onControl(leader, delay, func() {
		mark, ok := w.applySettled(leader, s)
		if ok && c.incarnation == incarnation && w.reachable(leader.party(), c.party()) {
			w.call(c, func() { c.mark = mark })
		}
	})
}

// releaseRequester returns the requester if a process is it, has no request on its way and
// sends no more, and the zero value otherwise.
func (w *world) releaseRequester(c *control) ctview.Requester {
	requester := c.group.Requester
	stays := c.leading && c.group.ChangingPrimary() && !c.requests.Released(groupName, requester)
	if requester.Control != c.name || stays || !c.requests.Release(w.now, groupName, requester) {
		return ctview.Requester{}
	}
	return requester
}

// applySettled applies a report of a process to the leader, and returns the leader's mark.
func (w *world) applySettled(leader *control, s settled) (mark ctsuccession.Mark, ok bool) {
	if !leader.hasAuthority(w.now) {
		return mark, false
	}
	leader.machine.RecordEnded(w.now, s.ended)
	mark = leader.machine.Mark()
	if release, ok := leader.machine.Release(leader.group, s.released, s.mark); ok {
		w.propose(leader, ctregister.ReleaseRequester{
			Group: groupName, Requester: release.Requester, Reason: string(release.Reason),
		})
	}
	if len(s.void) > 0 {
		w.propose(leader, ctregister.SettlePromotions{Group: groupName, Promotions: s.void})
	}
	return mark, true
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
	listed := func(name ctid.Member) bool {
		_, ok := c.roster[name]
		return ok
	}
	current := ctregister.SetMembers{Silent: c.machine.Unlisted(listed), Lost: []ctview.LostLogs{}}
	logs, ok := c.machine.LostLogs(groupName)
	if ok {
		current.Lost = append(current.Lost, logs)
	}
	for _, name := range slices.Sorted(maps.Keys(c.roster)) {
		current.Members = append(current.Members, c.roster[name])
	}
	if !slices.Equal(current.Members, w.register.Members) || !slices.Equal(current.Silent, w.register.Silent) ||
		!logs.Equal(w.register.Lost[groupName]) {
		w.propose(c, current)
	}
}
