package ctquota

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	// markHeadroomDivisor is the part of the need that is added to a mark, so that small
	// changes of demand need no other mark.
	markHeadroomDivisor = 8
	// lowerFactor is how many times the need a mark must be before it is lowered.
	lowerFactor = 2
	// proposalTimeout is how long after its proposal a mark is proposed again, if it was not
	// committed.
	proposalTimeout = time.Second
)

// need returns how many operations the caps and charges would sum up to if each holder had
// its share.
func (a *account) need(known bool) ctid.Operations {
	need := ctid.Operations(0)
	for _, l := range a.leases {
		wanted := l.committed()
		if !l.usableUntil.IsZero() {
			wanted = max(wanted, a.share(l))
		}
		if !known {
			wanted = max(0, wanted-l.legacy)
		}
		need += wanted
	}
	if !known {
		need += a.base
	}
	return min(need, a.ceiling)
}

// wantedMark returns the mark to propose, and whether there is one. A lower mark binds this
// account from now on, as another leader may act on it before this one sees it committed.
func (a *account) wantedMark(now time.Time, known bool) (ctid.Operations, bool) {
	need := a.need(known)
	wanted := min(a.ceiling, need+need/markHeadroomDivisor+minimumCap)
	switch {
	case need > a.mark:
	case known && wanted*lowerFactor < a.mark && a.sums.committed <= wanted:
		a.mark = wanted
	default:
		return 0, false
	}
	if a.proposed == wanted && now.Sub(a.proposedAt) < proposalTimeout {
		return 0, false
	}
	a.proposed, a.proposedAt = wanted, now
	return wanted, true
}
