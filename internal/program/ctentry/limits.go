package ctentry

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctthrottle"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// lockedBudget is the proxy's retry budget, locked for a moment at each use.
type lockedBudget struct {
	budget *cttable.Cell[ctretry.Budget]
	held   *ctlock.Held
}

// Deposit counts one request.
func (l lockedBudget) Deposit() {
	l.budget.With(l.held, func(b *ctretry.Budget) { b.Deposit() })
}

// TryWithdraw takes one retry and reports whether it is allowed.
func (l lockedBudget) TryWithdraw() bool {
	allowed := false
	l.budget.With(l.held, func(b *ctretry.Budget) { allowed = b.TryWithdraw() })
	return allowed
}

// lockedThrottles are the proxy's throttles, locked for a moment at each use.
type lockedThrottles struct {
	entry *Entry
	held  *ctlock.Held
}

// Allow reports whether to send a request to the member.
func (t lockedThrottles) Allow(member ctid.Member) bool {
	allowed := false
	t.with(member, func(throttle *ctthrottle.Throttle) {
		allowed = throttle.Allow(t.entry.Clock.Now(), t.entry.Random)
	})
	return allowed
}

// RecordAnswer notes whether the member took a request that was sent.
func (t lockedThrottles) RecordAnswer(member ctid.Member, accepted bool) {
	t.with(member, func(throttle *ctthrottle.Throttle) { throttle.RecordAnswer(t.entry.Clock.Now(), accepted) })
}

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
