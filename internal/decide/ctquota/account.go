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
	level, committed, legacy, extra, wanted, asked, demand, live ctid.Operations
}

func (s *sums) add(l *lease, sign ctid.Operations) {
	s.level += sign * l.level
	s.committed += sign * l.committed()
	s.extra += sign * l.extra()
	s.legacy += sign * l.legacy
	s.wanted += sign * l.wanted()
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
		share, rest := demand*capacity/a.sums.demand, demand*capacity%a.sums.demand
		if rest > 0 && a.sums.level-l.level+share < capacity {
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

// kept returns what a holder may keep of that which predecessors have granted. It is less
// than that if a lower limit is in force.
func (a *account) kept(l *lease) ctid.Operations {
	if a.sums.legacy > a.capacity() {
		return l.legacy * a.capacity() / a.sums.legacy
	}
	return l.legacy
}

// newcomerShare returns what a holder is to have while this leader does not know all caps:
// that which its predecessor has granted, and a fair part of the reserve.
func (a *account) newcomerShare(l *lease, reserve ctid.Operations) ctid.Operations {
	wanted := l.wanted()
	if a.sums.wanted <= reserve {
		minimum := min(minimumCap, (reserve-a.sums.wanted)/max(1, a.sums.live))
		return a.kept(l) + max(wanted, minimum-l.legacy)
	}
	part, rest := wanted*reserve/a.sums.wanted, wanted*reserve%a.sums.wanted
	if rest > 0 && a.sums.extra-l.extra()+part < reserve {
		part++
	}
	return a.kept(l) + part
}

// grant returns the cap for a holder, which is its share as far as others have not used up
// what may be granted. known reports whether the account has all caps that may be in use,
// and reserve whether holders may use more than predecessors of this leader granted otherwise.
func (a *account) grant(l *lease, known, reserve bool) ctid.Operations {
	capacity := a.capacity()
	share := a.share(l)
	free, base := ctid.Operations(0), max(l.committed(), l.legacy)
	if !known {
		if reserve {
			free = a.ceiling - capacity
		}
		share = a.newcomerShare(l, free)
		free = max(0, free-a.sums.extra)
	}
	if a.sums.level > capacity {
		// A lower limit is in force, or this leader has granted a part of its successor's.
		share = min(share, l.level*capacity/a.sums.level)
	}
	switch {
	case !known:
		return min(share, base+free)
	case a.sums.committed > capacity:
		return min(share, l.level)
	}
	return min(share, l.committed()+capacity-a.sums.committed)
}
