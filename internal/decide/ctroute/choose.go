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

// remotePenalty is what a replica of another failure domain costs more than one
// of the proxy's own.
const remotePenalty = 3 * time.Millisecond

// behindPenalty is what a replica costs more that was last heard to lack what
// the session has seen: it is tried after the others.
const behindPenalty = 250 * time.Millisecond

// busyThreshold is the expected wait at the best replica from which on a read goes
// to a primary that has a free slot.
const busyThreshold = 25 * time.Millisecond

// Request is what a choice depends on.
type Request struct {
	Now   time.Time
	Group ctid.Group
	// ReplicaAllowed reports whether a replica may serve the request.
	ReplicaAllowed bool
	// Seen is what the session has seen of the group.
	Seen ctposition.Point
	// FailureDomain is the failure domain of the proxy that asks.
	FailureDomain ctid.FailureDomain
	// Tried lists the members that refused the request already.
	Tried ctset.Set[ctid.Member]
	// Attempt counts the refusals of the primary before; it spreads tries
	// over the holders that may have taken over.
	Attempt int
}

// Choose chooses the member that serves a request.
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

// isBusy reports whether a replica is taken to make reads wait for long.
func isBusy(hints Hints, member ctid.Member, now time.Time) bool {
	hint, ok := hints.Hint(member)
	return ok && hint.remainingWait(now) >= busyThreshold
}

// hasFreeSlot reports whether a member is taken to have a free slot. Writes have no
// other place to go, so reads never queue at a primary while a replica is left.
func hasFreeSlot(hints Hints, member ctid.Member, now time.Time) bool {
	hint, ok := hints.Hint(member)
	return ok && hint.remainingWait(now) == 0
}

// refuseUnknown tells a group that is declared but has no primary yet from one
// that is not declared.
func refuseUnknown(view *ctview.View, name ctid.Group) Choice {
	if _, ok := view.Config.Document.Group(name); ok || view.Version == 0 {
		return Refuse{Reason: ctoutcome.ReasonNoPrimary, Retryable: true}
	}
	return Refuse{Reason: ctoutcome.ReasonNoGroup}
}

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

// chooseReplica returns the replica with the lowest expected delay.
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

// expectedDelay returns the delay that is expected of a replica.
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

// holderForAttempt returns the holder of a member, and after failed tries the proxies
// that take over from it in turn.
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
