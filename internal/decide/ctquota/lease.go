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

// lease is what the ledger knows of one holder's cap of one workspace.
type lease struct {
	// level is the highest cap that the holder may use now, and usableUntil the end of its
	// lease. usableUntil is zero if the holder has none.
	level       ctid.Operations
	usableUntil time.Time
	// charge is how many operations may have started before the newest report, and count
	// until chargedUntil. They are part of the level as far as it allows.
	charge       ctid.Operations
	chargedUntil time.Time
	// legacy is what counted for the holder when a predecessor of this leader ended.
	legacy ctid.Operations
	// asked is how many operations the holder last reported as started or refused.
	asked ctid.Operations
}

// demand returns what the holder asked for, with headroom.
func (l *lease) demand() ctid.Operations {
	return l.asked + (l.asked+headroomDivisor-1)/headroomDivisor
}

// wanted returns the part of the demand that predecessors of this leader have not granted.
func (l *lease) wanted() ctid.Operations {
	return max(0, l.demand()-l.legacy)
}

// committed returns how many operations count for the holder: those in any window that ends
// from now on, if it uses its cap.
func (l *lease) committed() ctid.Operations {
	return max(l.level, l.charge)
}

// extra returns the part of the committed operations that this leader has granted in
// addition to its predecessors.
func (l *lease) extra() ctid.Operations {
	return max(0, l.committed()-l.legacy)
}

// confirm records a report: the holder has a cap, and the operations that started in the
// window before are all that count beside it.
func (l *lease) confirm(granted, started ctid.Operations, chargedUntil time.Time) {
	l.level = min(granted, l.level)
	l.charge, l.chargedUntil = started, chargedUntil
}

// end ends the lease. What the holder may have started counts until the given time.
func (l *lease) end(chargedUntil time.Time) {
	l.charge, l.chargedUntil = l.committed(), chargedUntil
	l.level, l.usableUntil, l.asked = 0, time.Time{}, 0
}

// expire ends the lease if its time has passed, and drops a charge that counts no more. It
// reports whether anything still counts or the holder still has a lease.
func (l *lease) expire(now time.Time, window time.Duration) bool {
	if !l.usableUntil.IsZero() && !now.Before(l.usableUntil) {
		l.end(l.usableUntil.Add(window))
	}
	if !now.Before(l.chargedUntil) {
		l.charge = 0
	}
	return !l.usableUntil.IsZero() || l.charge > 0
}
