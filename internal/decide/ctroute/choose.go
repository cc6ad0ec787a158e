package ctroute

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctholder"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// remotePenalty is added to the expected delay of a replica in another failure
// domain than the proxy's.
const remotePenalty = 3 * time.Millisecond

// behindPenalty is added to the expected delay of a replica whose last hint is
// behind what the session has seen, so that it is tried after the others.
const behindPenalty = 250 * time.Millisecond

// busyThreshold is the expected wait from which on a replica counts as busy. If the
// best replica is busy, a read goes to the primary if that has a free slot.
const busyThreshold = 25 * time.Millisecond

// Request describes a request that needs a member.
type Request struct {
	Now   time.Time
	Group ctid.Group
	// ReplicaAllowed reports whether a replica may serve the request.
	ReplicaAllowed bool
	// Seen covers what the session has seen of the group.
	Seen ctposition.Point
	// FailureDomain is the failure domain of the proxy that routes the request.
	FailureDomain ctid.FailureDomain
	// Tried lists the replicas that aren't chosen again for the request.
	Tried ctset.Set[ctid.Member]
	// Attempt counts the earlier tries on the primary that were refused or failed.
	// It spreads the tries over the proxies that may have become its holder.
	Attempt int
}

// Choose returns a Send to the member that is to serve the request, or a Refuse.
func Choose(view *ctview.View, hints Hints, request Request) Choice {
	group, ok := view.Groups[request.Group]
	if !ok {
		return refuseUnknown(view, request.Group)
	}
	if !request.ReplicaAllowed {
		return choosePrimary(view, group, request, ReasonWrite)
	}
	send, ok := chooseReplica(view, hints, group, request)
	if !ok {
		return choosePrimary(view, group, request, ReasonNoReplicaLeft)
	}
	if isBusy(hints, send.Member, request.Now) && hasFreeSlot(hints, group.Primary, request.Now) {
		if spilled, ok := choosePrimary(view, group, request, ReasonReplicasBusy).(Send); ok {
			return spilled
		}
	}
	return send
}

// isBusy reports whether a member's expected wait reaches busyThreshold. A member
// without a hint isn't busy.
func isBusy(hints Hints, member ctid.Member, now time.Time) bool {
	hint, ok := hints.Hint(member)
	return ok && hint.remainingWait(now) >= busyThreshold
}

// hasFreeSlot reports whether a request is expected to start at the member without
// a wait. A member without a hint has no free slot. Writes can run only on the
// primary, so reads never queue there while a replica is left.
func hasFreeSlot(hints Hints, member ctid.Member, now time.Time) bool {
	hint, ok := hints.Hint(member)
	return ok && hint.remainingWait(now) == 0
}

// refuseUnknown refuses a request for a group that isn't in the view. The request
// may be retried if the group is configured and has no primary yet, or if the proxy
// has no view yet.
func refuseUnknown(view *ctview.View, name ctid.Group) Choice {
	if _, ok := view.Config.Document.Group(name); ok || view.Version == 0 {
		return Refuse{Reason: ctoutcome.ReasonNoPrimary, Retryable: true}
	}
	return Refuse{Reason: ctoutcome.ReasonNoGroup}
}

// choosePrimary returns a Send to the group's primary, or a Refuse while the
// primary is fenced, retiring or unknown.
func choosePrimary(view *ctview.View, group ctview.Group, request Request, reason Reason) Choice {
	if group.Fence > group.Term {
		return Refuse{Reason: ctoutcome.ReasonNoPrimary, Retryable: true}
	}
	if group.PrimaryRetiring() {
		return Refuse{Reason: ctoutcome.ReasonLeaving, Retryable: true}
	}
	if _, ok := view.Members[group.Primary]; !ok {
		return Refuse{Reason: ctoutcome.ReasonNoPrimary, Retryable: true}
	}
	holder, ok := holderForAttempt(view, group.Primary, request.Attempt)
	if !ok {
		return Refuse{Reason: ctoutcome.ReasonNoHolder, Retryable: true}
	}
	return Send{Member: group.Primary, Role: ctserver.RolePrimary, Holder: holder, Term: group.Term, Reason: reason}
}

// chooseReplica returns a Send to the replica with the lowest expected delay, and
// whether there is one. It skips replicas that are not ready, have no holder or were
// tried already.
func chooseReplica(view *ctview.View, hints Hints, group ctview.Group, request Request) (Send, bool) {
	var best Send
	var bestDelay time.Duration
	found := false
	for _, name := range view.MembersOf(group.Name) {
		member := view.Members[name]
		if name == group.Primary || member.State != ctserver.StateReady || request.Tried.Has(name) {
			continue
		}
		holder, ok := ctholder.Of(view, name)
		if !ok {
			continue
		}
		delay, reason := expectedDelay(hints, group, member, request)
		if !found || delay < bestDelay {
			best = Send{Member: name, Role: ctserver.RoleReplica, Holder: holder, Term: group.Term, Reason: reason}
			bestDelay, found = delay, true
		}
	}
	return best, found
}

// expectedDelay returns the delay that is expected of a replica, with penalties,
// and the reason to report if the replica is chosen.
func expectedDelay(
	hints Hints, group ctview.Group, member ctserver.Announcement, request Request,
) (time.Duration, Reason) {
	delay, reason := time.Duration(0), ReasonLocalReplica
	if member.FailureDomain != request.FailureDomain {
		delay, reason = remotePenalty, ReasonRemoteReplica
	}
	hint, ok := hints.Hint(member.Member)
	if !ok {
		return delay, reason
	}
	delay += hint.remainingWait(request.Now)
	if !group.History.Covers(hint.Applied, request.Seen) {
		delay += behindPenalty
	}
	return delay, reason
}

// holderForAttempt returns the member's holder for the first try. Later tries go in
// turn to the proxies that would take over from it.
func holderForAttempt(view *ctview.View, member ctid.Member, attempt int) (ctview.Proxy, bool) {
	if attempt == 0 {
		return ctholder.Of(view, member)
	}
	ranked := ctholder.Rank(view, member)
	if len(ranked) == 0 {
		return ctview.Proxy{}, false
	}
	return ranked[attempt%len(ranked)], true
}
