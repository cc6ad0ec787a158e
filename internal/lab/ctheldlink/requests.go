package ctheldlink

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	// leaseDuration is how long after a request of one control process no other one may
	// send a request for the same group.
	leaseDuration = 5 * time.Second
	// stableWindow is how long after a disturbance of a control process its turns are not
	// judged.
	stableWindow = 5 * time.Second
)

// request is a promotion request that the service has received.
type request struct {
	group     ctid.Group
	member    ctid.Member
	requester Host
	epoch     ctquorum.Epoch
	at        time.Time
}

// recordRequest compares a promotion request with those that the service received before.
func (j *Judge) recordRequest(r request) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var highest, other request
	for _, e := range j.requests {
		if e.epoch == r.epoch && e.requester != r.requester {
			j.violate(RuleSharedEpoch, "%s requests %s in epoch %d, in which %s requested %s",
				r.requester, r.member, r.epoch, e.requester, e.member)
		}
		if e.group != r.group {
			continue
		}
		if e.epoch > highest.epoch {
			highest = e
		}
		if e.requester != r.requester {
			other = e
		}
	}
	j.requests = append(j.requests, r)
	if r.epoch < highest.epoch {
		j.violate(RuleEpochOrder, "%s requests %s in epoch %d, %s after %s requested %s in epoch %d",
			r.requester, r.member, r.epoch, r.at.Sub(highest.at).Round(time.Millisecond),
			highest.requester, highest.member, highest.epoch)
	}
	j.checkTurn(other, r)
}

// checkTurn checks that two control processes have not requested promotions of one group
// within leaseDuration while neither was disturbed. The caller has locked the mutex.
func (j *Judge) checkTurn(earlier, later request) {
	if earlier.at.IsZero() || later.at.Sub(earlier.at) >= leaseDuration {
		return
	}
	since := earlier.at.Add(-stableWindow)
	if !j.disturbed(earlier.requester, since) && !j.disturbed(later.requester, since) {
		j.violate(RuleTurns, "%s requests %s in epoch %d, %s after %s requested %s in epoch %d, and neither was disturbed",
			later.requester, later.member, later.epoch, later.at.Sub(earlier.at).Round(time.Millisecond),
			earlier.requester, earlier.member, earlier.epoch)
	}
}
