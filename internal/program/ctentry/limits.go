package ctentry

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctthrottle"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// allowance is the proxy's retry budget, locked for a moment at each use.
type allowance struct {
	budget *cttable.Cell[ctretry.Budget]
	held   *ctlock.Held
}

// Deposit counts one request.
func (a allowance) Deposit() {
	a.budget.With(a.held, func(b *ctretry.Budget) { b.Deposit() })
}

// TryWithdraw takes one retry and reports whether it is allowed.
func (a allowance) TryWithdraw() bool {
	allowed := false
	a.budget.With(a.held, func(b *ctretry.Budget) { allowed = b.TryWithdraw() })
	return allowed
}

// throttles are the proxy's throttles, locked for a moment at each use.
type throttles struct {
	entry *Entry
	held  *ctlock.Held
}

// Allow reports whether to send a request to the member.
func (t throttles) Allow(member ctid.Member) bool {
	allowed := false
	t.with(member, func(row *ctthrottle.Throttle) {
		allowed = row.Allow(t.entry.Clock.Now(), t.entry.Random)
	})
	return allowed
}

// RecordAnswer notes whether the member took a request that was sent.
func (t throttles) RecordAnswer(member ctid.Member, taken bool) {
	t.with(member, func(row *ctthrottle.Throttle) { row.RecordAnswer(t.entry.Clock.Now(), taken) })
}

func (t throttles) with(member ctid.Member, use func(row *ctthrottle.Throttle)) {
	t.entry.throttles.With(t.held, func(rows map[ctid.Member]*ctthrottle.Throttle) {
		row, ok := rows[member]
		if !ok {
			row = &ctthrottle.Throttle{}
			rows[member] = row
		}
		use(row)
	})
}
