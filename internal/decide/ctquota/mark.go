package ctquota

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	// markHeadroomDivisor divides the need: the quotient is added to a mark, so that small
	// changes of demand need no other mark.
	markHeadroomDivisor = 16
	// surplusDivisor divides a mark: it is lowered if it exceeds what is wanted by more than the
	// quotient, and lowerInterval the least time after another proposal.
	surplusDivisor = 8
	lowerInterval  = 2 * time.Second
	// proposalTimeout is how long after its proposal a mark is proposed again, if it was not
	// committed.
	proposalTimeout = time.Second
)

// need returns how many operations the caps and charges would sum up to if each holder had
// its share.
func (a *account) need(known bool) ctid.Operations {
	if !known {
		return min(a.ceiling, a.base+max(a.sums.extra, a.sums.wanted+minimumCap*a.sums.live))
	}
	need := ctid.Operations(0)
	for _, l := range a.leases {
		wanted := l.committed()
		if !l.usableUntil.IsZero() {
			wanted = max(l.charge, a.share(l))
		}
		need += wanted
	}
	return min(need, a.ceiling)
}

// wantedMark returns the mark to propose, and whether there is one. A lower mark binds this
// account from now on, as another leader may act on it before this one sees it committed.
func (a *account) wantedMark(now time.Time, known bool) (ctid.Operations, bool) {
	need := a.need(known)
	wanted := min(a.ceiling, need+need/markHeadroomDivisor+minimumCap)
	sinceProposal := now.Sub(a.proposedAt)
	switch {
	case need > a.mark:
		if a.proposed == wanted && sinceProposal < proposalTimeout {
			return 0, false
		}
	case known && a.mark-wanted > a.mark/surplusDivisor && a.sums.committed <= wanted && sinceProposal >= lowerInterval:
		a.mark = wanted
	default:
		return 0, false
	}
	a.proposed, a.proposedAt = wanted, now
	return wanted, true
}
