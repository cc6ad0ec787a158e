package ctquota

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	// headroomDivisor divides a holder's demand: the quotient is added to it as headroom.
	// minimumCap is what each holder is to have in addition, in operations, so that the first
	// operation of an idle workspace finds a cap.
	headroomDivisor = 4
	minimumCap      = 2
	// idleDivisor divides the ceiling: holders get equal parts of the quotient while the workspace
	// is hardly used, so that its caps need not grow from report to report at first.
	idleDivisor = 8
	// sweepInterval is how often an account drops what has expired. In between, what has
	// expired counts still.
	sweepInterval = 100 * time.Millisecond
)

// account holds the caps of one workspace.
type account struct {
	// ceiling is how many operations may start in any window.
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

// sums are the sums of the fields of leases and of what their methods return. live is the number
// of leases that holders may use.
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

// capacity returns how many operations the caps and charges of all leaders may sum up to.
func (a *account) capacity() ctid.Operations {
	return min(a.ceiling, a.mark)
}

// reserve returns how many operations a leader that does not know all caps may grant in addition
// to its predecessors.
func (a *account) reserve() ctid.Operations {
	return max(0, a.capacity()-a.base)
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

// share returns what a holder is to have: its demand, and an equal part of what is left, up
// to minimumCap, or more while the workspace is hardly used. If the demands exceed the
// ceiling, they are scaled down alike.
func (a *account) share(l *lease) ctid.Operations {
	demand := l.demand()
	if a.sums.demand > a.ceiling {
		share, rest := demand*a.ceiling/a.sums.demand, demand*a.ceiling%a.sums.demand
		if rest > 0 && a.sums.level-l.level+share < a.ceiling {
			// The parts that rounding leaves over go to the holders that report first.
			share++
		}
		return share
	}
	holders := max(1, a.sums.live)
	if idle := a.ceiling / (idleDivisor * holders); a.sums.demand*idleDivisor < a.ceiling {
		demand = max(demand, idle)
	}
	return demand + min(minimumCap, (a.ceiling-a.sums.demand)/holders)
}

// legacyShare returns what a holder may keep of what predecessors of this leader have granted. It
// is less than that if a lower limit is in force.
func (a *account) legacyShare(l *lease) ctid.Operations {
	if a.sums.legacy > a.capacity() {
		return l.legacy * a.capacity() / a.sums.legacy
	}
	return l.legacy
}

// provisionalShare returns what a holder is to have while this leader does not know all caps:
// what predecessors have granted, and a fair part of the reserve.
func (a *account) provisionalShare(l *lease, reserve ctid.Operations) ctid.Operations {
	wanted := l.wanted()
	if a.sums.wanted <= reserve {
		minimum := min(minimumCap, (reserve-a.sums.wanted)/max(1, a.sums.live))
		return a.legacyShare(l) + max(wanted, minimum-l.legacy)
	}
	part, rest := wanted*reserve/a.sums.wanted, wanted*reserve%a.sums.wanted
	if rest > 0 && a.sums.extra-l.extra()+part < reserve {
		part++
	}
	return a.legacyShare(l) + part
}

// grant returns the cap for a holder, which is its share as far as others have not used up
// what may be granted. known reports whether the account has all caps that may be in use.
func (a *account) grant(l *lease, known bool) ctid.Operations {
	capacity, share := a.capacity(), a.share(l)
	if !known {
		share = a.provisionalShare(l, a.reserve())
	}
	if a.sums.level > capacity {
		// A lower limit is in force.
		share = min(share, l.level*capacity/a.sums.level)
	}
	switch {
	case !known:
		return min(share, max(l.committed(), l.legacy)+max(0, a.reserve()-a.sums.extra))
	case a.sums.committed > capacity:
		return min(share, l.level)
	}
	return min(share, l.committed()+capacity-a.sums.committed)
}
