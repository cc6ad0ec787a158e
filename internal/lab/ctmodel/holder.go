package ctmodel

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Bounds of the rule that one holder at a time requests promotions. The deployments state no
// lease.
const (
	holderLease  = 3 * time.Second
	stableWindow = 5 * time.Second
)

// requestJudge is what the service has seen of the requests that it handled.
type requestJudge struct {
	// highest is the request with the highest epoch, and last the last one.
	highest, last handledRequest
	// holders are the holders of the epochs.
	holders map[ctview.Epoch]ctid.Control
}

// handledRequest is a request that the service has handled.
type handledRequest struct {
	holder *control
	epoch  ctview.Epoch
	at     time.Time
}

// checkRequest checks a request that the service handles now.
func (w *world) checkRequest(r *call) {
	j := &w.requests
	request := handledRequest{holder: r.sender, epoch: r.task.requester.Epoch, at: w.now}
	if j.holders == nil {
		j.holders = make(map[ctview.Epoch]ctid.Control)
	}
	if first, seen := j.holders[request.epoch]; seen && first != request.holder.name {
		w.violate(RuleHolder, "%s after %s in epoch %d", request.holder.name, first, request.epoch)
	}
	if last := j.last; last.holder != nil && last.holder != request.holder {
		gap := w.now.Sub(last.at)
		if gap < holderLease && w.inTouch(last.holder) && w.inTouch(request.holder) {
			w.violate(RuleTurns, "%s epoch %d after %s epoch %d, %s later",
				request.holder.name, request.epoch, last.holder.name, last.epoch, gap)
		}
	}
	if request.epoch < j.highest.epoch {
		w.violate(RuleOrder, "%s epoch %d after %s epoch %d, %s later",
			request.holder.name, request.epoch, j.highest.holder.name, j.highest.epoch, w.now.Sub(j.highest.at))
	} else {
		j.highest = request
	}
	j.last = request
	j.holders[request.epoch] = request.holder.name
}

// inTouch reports whether a process of control was not disturbed within the stable window.
func (w *world) inTouch(c *control) bool {
	return w.now.Sub(c.disturbedUntil) >= stableWindow
}
