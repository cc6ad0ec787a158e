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

// remoteDelay is what a replica of another failure domain costs more than one
// of the proxy's own.
const remoteDelay = 3 * time.Millisecond

// behindDelay is what a replica costs more that was last heard to lack what
// the session has seen: it is tried after the others.
const behindDelay = 250 * time.Millisecond

// spillDelay is the expected wait at the best replica from which on a read goes
// to a primary that has a free slot.
const spillDelay = 25 * time.Millisecond

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
func Choose(view *ctview.View, hints Hints, query Request) Choice {
	group, ok := view.Groups[query.Group]
	if !ok {
		return refuseUnknown(view, query.Group)
	}
	if !query.ReplicaAllowed {
		return primary(view, group, query, ReasonWrite)
	}
	send, ok := replica(view, hints, group, query)
	if !ok {
		return primary(view, group, query, ReasonNoReplicaLeft)
	}
	if busy(hints, send.Member, query.Now) && free(hints, group.Primary, query.Now) {
		if spilled, ok := primary(view, group, query, ReasonReplicasBusy).(Send); ok {
			return spilled
		}
	}
	return send
}

// busy reports whether a replica is taken to make reads wait for long.
func busy(hints Hints, member ctid.Member, now time.Time) bool {
	hint, ok := hints.Hint(member)
	return ok && hint.wait(now) >= spillDelay
}

// free reports whether a member is taken to have a free slot. Writes have no
// other place to go, so reads never queue at a primary while a replica is left.
func free(hints Hints, member ctid.Member, now time.Time) bool {
	hint, ok := hints.Hint(member)
	return ok && hint.wait(now) == 0
}

// refuseUnknown tells a group that is declared but has no primary yet from one
// that is not declared.
func refuseUnknown(view *ctview.View, name ctid.Group) Choice {
	if _, ok := view.Config.Document.Group(name); ok || view.Version == 0 {
		return Refuse{Reason: ctoutcome.ReasonNoPrimary, Retryable: true}
	}
	return Refuse{Reason: ctoutcome.ReasonNoGroup}
}

func primary(view *ctview.View, group ctview.Group, query Request, why Reason) Choice {
	if group.Fence > group.Term {
		return Refuse{Reason: ctoutcome.ReasonNoPrimary, Retryable: true}
	}
	if group.PrimaryRetiring() {
		return Refuse{Reason: ctoutcome.ReasonLeaving, Retryable: true}
	}
	if _, ok := view.Members[group.Primary]; !ok {
		return Refuse{Reason: ctoutcome.ReasonNoPrimary, Retryable: true}
	}
	holder, ok := holderOf(view, group.Primary, query.Attempt)
	if !ok {
		return Refuse{Reason: ctoutcome.ReasonNoHolder, Retryable: true}
	}
	return Send{Member: group.Primary, Role: ctserver.RolePrimary, Holder: holder, Term: group.Term, Reason: why}
}

// replica returns the replica with the lowest expected delay.
func replica(view *ctview.View, hints Hints, group ctview.Group, query Request) (Send, bool) {
	var best Send
	var bestCost time.Duration
	found := false
	for _, name := range view.MembersOf(group.Name) {
		member := view.Members[name]
		if name == group.Primary || member.State != ctserver.StateReady || query.Tried.Has(name) {
			continue
		}
		holder, ok := ctholder.Of(view, name)
		if !ok {
			continue
		}
		cost, why := price(hints, group, member, query)
		if !found || cost < bestCost {
			best = Send{Member: name, Role: ctserver.RoleReplica, Holder: holder, Term: group.Term, Reason: why}
			bestCost, found = cost, true
		}
	}
	return best, found
}

// price returns the delay that is expected of a replica.
func price(hints Hints, group ctview.Group, member ctserver.Announcement, query Request) (time.Duration, Reason) {
	cost, why := time.Duration(0), ReasonLocalReplica
	if member.FailureDomain != query.FailureDomain {
		cost, why = remoteDelay, ReasonRemoteReplica
	}
	hint, ok := hints.Hint(member.Member)
	if !ok {
		return cost, why
	}
	cost += hint.wait(query.Now)
	if !group.History.Covers(hint.Applied, query.Seen) {
		cost += behindDelay
	}
	return cost, why
}

// holderOf returns the holder of a member, and after failed tries the proxies
// that take over from it in turn.
func holderOf(view *ctview.View, member ctid.Member, attempt int) (ctview.Proxy, bool) {
	if attempt == 0 {
		return ctholder.Of(view, member)
	}
	ranked := ctholder.Rank(view, member)
	if len(ranked) == 0 {
		return ctview.Proxy{}, false
	}
	return ranked[attempt%len(ranked)], true
}
