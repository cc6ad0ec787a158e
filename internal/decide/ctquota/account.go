package ctquota

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	// headroomDivisor is the part of a holder's demand that is added to it, and
	// minimumCap what each holder is to have in addition, so that the first operation of an
	// idle workspace finds a cap.
	headroomDivisor = 4
	minimumCap      = 3
	// idleDivisor is the part of the ceiling that holders get equally, whatever their demand.
	idleDivisor = 4
	// sweepInterval is how often an account drops what has expired. In between, what has
	// expired counts still.
	sweepInterval = 100 * time.Millisecond
)

// account holds the caps of one workspace.
type account struct {
	ceiling ctid.Operations
	// mark is the durable bound on the sum of caps and charges. base is the mark of the
	// predecessors when this leader started: it bounds the caps and charges that the account
	// does not know yet.
	mark, base ctid.Operations
	leases     map[Holder]*lease
	// sums are the sums over all leases.
	sums    sums
	sweptAt time.Time
	// proposed is the mark that was last proposed, and proposedAt when.
	proposed   ctid.Operations
	proposedAt time.Time
}

// sums are the sums of the fields of leases.
type sums struct {
	level, committed, extra, asked, demand, live ctid.Operations
}

func (s *sums) add(l *lease, sign ctid.Operations) {
	s.level += sign * l.level
	s.committed += sign * l.committed()
	s.extra += sign * l.extra()
	s.asked += sign * l.asked
	s.demand += sign * l.demand()
	if !l.usableUntil.IsZero() {
		s.live += sign
	}
}

// capacity returns how many operations the caps and charges of all leaders may sum up to.
func (a *account) capacity() ctid.Operations {
	return min(a.ceiling, a.mark)
}

// sweep drops what has expired.
func (a *account) sweep(now time.Time, window time.Duration) {
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	a.sums = sums{}
	for holder, l := range a.leases {
		if !l.expire(now, window) {
			delete(a.leases, holder)
			continue
		}
		a.sums.add(l, 1)
	}
}

// change runs a change of a holder's lease and keeps the sums.
func (a *account) change(holder Holder, change func(l *lease)) {
	l, ok := a.leases[holder]
	if !ok {
		l = &lease{}
		a.leases[holder] = l
	}
	a.sums.add(l, -1)
	change(l)
	a.sums.add(l, 1)
}

// full reports whether holders ask for more than the limit allows.
func (a *account) full() bool {
	return a.sums.asked > a.ceiling
}

// share returns what a holder is to have: its demand or an equal part of what is left,
// whichever is more, and minimumCap. If the demands exceed the ceiling, they are scaled down
// alike.
func (a *account) share(l *lease) ctid.Operations {
	demand := l.demand()
	if a.sums.demand > a.ceiling {
		share := demand * a.ceiling / a.sums.demand
		if demand > 0 && a.sums.level-l.level+share < a.ceiling {
			// The parts that rounding leaves over go to the holders that report first.
			share++
		}
		return share
	}
	holders := max(1, a.sums.live)
	left := (a.ceiling - a.sums.demand) / holders
	idle := max(0, min(left-minimumCap, a.ceiling/(idleDivisor*holders)))
	return max(demand, idle) + min(minimumCap, left)
}

// grant returns the cap for a holder, which is its share as far as others have not used up
// what may be granted. known reports whether the account has all caps that may be in use.
func (a *account) grant(l *lease, known bool) ctid.Operations {
	share, capacity := a.share(l), a.capacity()
	switch {
	case a.sums.level > capacity:
		// A lower limit is in force.
		share = min(share, l.level*capacity/a.sums.level)
	case !known:
		share = max(share, l.level)
	}
	if known {
		if a.sums.committed > capacity {
			return min(share, l.level)
		}
		return min(share, l.committed()+capacity-a.sums.committed)
	}
	free := max(0, capacity-a.base-a.sums.extra)
	return min(share, max(l.committed(), l.legacy)+free)
}
