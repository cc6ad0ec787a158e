package ctentry

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctthrottle"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// lockedBudget gives a session access to the retry budget of the whole proxy. Each call
// locks it briefly.
type lockedBudget struct {
	budget *cttable.Cell[ctretry.Budget]
	held   *ctlock.Held
}

// Deposit credits the budget for one request.
func (l lockedBudget) Deposit() {
	l.budget.With(l.held, func(b *ctretry.Budget) { b.Deposit() })
}

// TryWithdraw withdraws one retry from the budget and reports whether it is allowed.
func (l lockedBudget) TryWithdraw() bool {
	allowed := false
	l.budget.With(l.held, func(b *ctretry.Budget) { allowed = b.TryWithdraw() })
	return allowed
}

// lockedThrottles gives a session access to the throttles of the whole proxy. Each call
// locks them briefly.
type lockedThrottles struct {
	entry *Entry
	held  *ctlock.Held
}

// Allow reports whether the member's throttle allows another request.
func (t lockedThrottles) Allow(member ctid.Member) bool {
	allowed := false
	t.with(member, func(throttle *ctthrottle.Throttle) {
		allowed = throttle.Allow(t.entry.Clock.Now(), t.entry.Random)
	})
	return allowed
}

// RecordAnswer records whether the member accepted a request or refused it because of
// its load.
func (t lockedThrottles) RecordAnswer(member ctid.Member, accepted bool) {
	t.with(member, func(throttle *ctthrottle.Throttle) { throttle.RecordAnswer(t.entry.Clock.Now(), accepted) })
}

// with runs action on the member's throttle, which it creates at first use.
func (t lockedThrottles) with(member ctid.Member, action func(throttle *ctthrottle.Throttle)) {
	t.entry.throttles.With(t.held, func(throttles map[ctid.Member]*ctthrottle.Throttle) {
		throttle, ok := throttles[member]
		if !ok {
			throttle = &ctthrottle.Throttle{}
			throttles[member] = throttle
		}
		action(throttle)
	})
}
