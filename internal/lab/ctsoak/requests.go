package ctsoak

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	// holderLease is how long after a promotion request of one holder no other one may request
	// a promotion in the same group.
	holderLease = 5 * time.Second
	// stableWindow is how long after a disturbance of a process its timing is not judged.
	stableWindow = 5 * time.Second
)

// promotionRequest is a promotion request as the service receives it.
type promotionRequest struct {
	group  ctid.Group
	member ctid.Member
	// holder is the control process that sends it.
	holder string
	epoch  ctquorum.Epoch
	at     time.Time
}

// recordRequest checks a promotion request against those that the service received before.
func (c *Checker) recordRequest(r promotionRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var highest, other promotionRequest
	for _, e := range c.requests {
		if e.epoch == r.epoch && e.holder != r.holder {
			c.recordViolationLocked(InvariantSharedEpoch, "%s: %s requests %s in epoch %d, in which %s requested %s of %s",
				r.group, r.holder, r.member, r.epoch, e.holder, e.member, e.group)
		}
		if e.group != r.group {
			continue
		}
		if e.epoch > highest.epoch {
			highest = e
		}
		if e.holder != r.holder {
			other = e
		}
	}
	c.requests = append(c.requests, r)
	if r.epoch < highest.epoch {
		c.recordViolationLocked(InvariantEpochOrder, "%s: %s requests %s in epoch %d, %s after %s requested %s in epoch %d",
			r.group, r.holder, r.member, r.epoch, r.at.Sub(highest.at), highest.holder, highest.member, highest.epoch)
	}
	if other.holder != "" {
		c.checkTurnLocked(other, r)
	}
}

// checkTurnLocked checks that two holders that weren't disturbed have not requested promotions in
// one group within holderLease. The caller holds the mutex.
func (c *Checker) checkTurnLocked(earlier, later promotionRequest) {
	if later.at.Sub(earlier.at) >= holderLease {
		return
	}
	since := earlier.at.Add(-stableWindow)
	if c.inTouch(earlier.holder, since) && c.inTouch(later.holder, since) {
		c.recordViolationLocked(InvariantTurns, "%s: %s requests %s in epoch %d, %s after %s requested %s in epoch %d",
			later.group, later.holder, later.member, later.epoch, later.at.Sub(earlier.at),
			earlier.holder, earlier.member, earlier.epoch)
	}
}
