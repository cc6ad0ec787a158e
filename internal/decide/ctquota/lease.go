package ctquota

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Holder is one run of a proxy process that counts operations.
type Holder struct {
	Proxy       ctid.Proxy
	Incarnation ctid.Incarnation
}

// charge is a number of operations that a holder may have started, which counts until a
// time.
type charge struct {
	operations ctid.Operations
	until      time.Time
}

// lease is what the ledger knows of one holder's cap of one workspace.
type lease struct {
	// level is the highest cap that the holder may use now, and usableUntil the end of its
	// lease. usableUntil is zero if the holder has none.
	level       ctid.Operations
	usableUntil time.Time
	// charges are the former levels that count still. Of two, the later one is lower and
	// counts for longer; all are higher than level.
	charges []charge
	// legacy is the cap that a predecessor of this leader has granted.
	legacy ctid.Operations
	// asked is how many operations the holder last reported as started or refused.
	asked ctid.Operations
}

// demand returns what the holder asked for, with headroom.
func (l *lease) demand() ctid.Operations {
	return l.asked + (l.asked+headroomDivisor-1)/headroomDivisor
}

// committed returns how many operations count for the holder: the highest cap that it may
// have used within the last window.
func (l *lease) committed() ctid.Operations {
	if len(l.charges) > 0 {
		return max(l.level, l.charges[0].operations)
	}
	return l.level
}

// extra returns the part of the committed operations that this leader has granted in
// addition to its predecessors.
func (l *lease) extra() ctid.Operations {
	return max(0, l.committed()-l.legacy)
}

// setLevel changes the level at a time. A higher former level counts until the given time.
func (l *lease) setLevel(level ctid.Operations, chargedUntil time.Time) {
	if level < l.level {
		kept := l.charges
		for len(kept) > 0 && kept[len(kept)-1].operations <= l.level {
			kept = kept[:len(kept)-1]
		}
		l.charges = append(kept, charge{operations: l.level, until: chargedUntil})
	}
	l.level = level
}

// expire ends the lease if its time has passed, and drops charges that count no more. It
// reports whether anything still counts or the holder still has a lease.
func (l *lease) expire(now time.Time, window time.Duration) bool {
	if !l.usableUntil.IsZero() && !now.Before(l.usableUntil) {
		l.setLevel(0, l.usableUntil.Add(window))
		l.usableUntil = time.Time{}
		l.asked = 0
	}
	for len(l.charges) > 0 && !now.Before(l.charges[0].until) {
		l.charges = l.charges[1:]
	}
	return !l.usableUntil.IsZero() || len(l.charges) > 0
}
