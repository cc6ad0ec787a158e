package ctquota

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	// steadyPart and ceilingParts say which part of the ceiling the caps and charges of a
	// leader may use. The rest is for its successor, which does not know them yet.
	steadyPart   = 4
	ceilingParts = 5
	// headroomDivisor is the part of a holder's demand that is added to it, and
	// minimumCap what each holder is to have in addition, so that the first operation of an
	// idle workspace finds a cap.
	headroomDivisor = 4
	minimumCap      = 2
	// surplusFactor limits how many times its demand a holder may get while capacity is
	// left. spareDivisor is the part of the capacity that stays free for new holders.
	surplusFactor = 4
	spareDivisor  = 6
	// sweepInterval is how often an account drops what has expired. In between, what has
	// expired counts still.
	sweepInterval = 100 * time.Millisecond
)

// account holds the caps of one workspace.
type account struct {
	ceiling ctid.Operations
	leases  map[Holder]*lease
	// sums are the sums over all leases.
	sums    sums
	sweptAt time.Time
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

// capacity returns how many operations the caps and charges of a leader may sum up to.
func (a *account) capacity() ctid.Operations {
	return a.ceiling * steadyPart / ceilingParts
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

// steady reports whether the caps and charges leave enough of the ceiling to a successor.
func (a *account) steady() bool {
	return a.sums.committed <= a.capacity()
}

// full reports whether holders ask for more than the limit allows.
func (a *account) full() bool {
	return a.sums.asked > a.capacity()
}

// share returns what a holder is to have: its demand, and an equal part of what is left, up
// to minimumCap. If the demands exceed the capacity, they are scaled down alike.
func (a *account) share(l *lease) ctid.Operations {
	capacity, demand := a.capacity(), l.demand()
	if a.sums.demand > capacity {
		share := demand * capacity / a.sums.demand
		if demand > 0 && a.sums.level-l.level+share < capacity {
			// The parts that rounding leaves over go to the holders that report first.
			share++
		}
		return share
	}
	left := capacity - capacity/spareDivisor - minimumCap*a.sums.live
	if a.sums.demand > 0 && left > a.sums.demand {
		return min(demand*surplusFactor, demand*left/a.sums.demand) + minimumCap
	}
	return demand + min(minimumCap, (capacity-a.sums.demand)/max(1, a.sums.live))
}

// grant returns the cap for a holder, which is its share as far as others have not used up
// what may be granted. known reports whether the account has all caps that may be in use,
// and reserve whether holders may use more than predecessors of this leader granted otherwise.
func (a *account) grant(l *lease, known, reserve bool) ctid.Operations {
	share, capacity := a.share(l), a.capacity()
	switch {
	case a.sums.level > capacity:
		// A lower limit is in force, or this leader has granted a part of its successor's.
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
	free := ctid.Operations(0)
	if reserve {
		free = max(0, a.ceiling-capacity-a.sums.extra)
	}
	return min(share, max(l.committed(), l.legacy)+free)
}
