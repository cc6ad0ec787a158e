package ctgateway

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctfresh"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctuplink"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Limits on the state of groups.
const (
	// primaryChangeTimeout is how long a change of a primary is expected to take at
	// most when nothing delays it. Statements wait for the new primary until then.
	primaryChangeTimeout = 1800 * time.Millisecond
	// retiringGrace is how long statements and transactions that run at a
	// retiring primary may take to end before the proxy enforces the fence.
	retiringGrace = 1200 * time.Millisecond
	// groupUseTTL is how long a group counts as in use after its last statement.
	groupUseTTL = 20 * time.Second
)

// groupState is a proxy's own state of one group, apart from the view. The lock of
// Gateway.groups guards it.
type groupState struct {
	samples ctfresh.Samples
	// knownFence is the newest fence of the view, and knownFenceSince when this proxy
	// first saw it.
	knownFence      ctposition.Term
	knownFenceSince time.Time
	// enforcedFence is the fence that the proxy enforces: it acknowledges no write of
	// an earlier term.
	enforcedFence ctposition.Term
	// lastAcknowledged covers all writes that the proxy acknowledged.
	lastAcknowledged ctposition.Point
	// runningAtPrimary counts the connections that run statements or transactions at
	// the primary.
	runningAtPrimary int
	// sampling reports whether a query for a sample is in progress.
	sampling bool
	// guardsHeard is when each guard member last answered this proxy, and queryingGuard reports
	// whether a query to one for that purpose is in progress.
	guardsHeard   map[ctid.Member]time.Time
	queryingGuard bool
	// lastUsed is when a statement last needed the group.
	lastUsed time.Time
}

// groupStateOf returns the state of a group and adds it to the table if it is
// missing.
func groupStateOf(groups map[ctid.Group]*groupState, name ctid.Group) *groupState {
	state, ok := groups[name]
	if !ok {
		state = &groupState{}
		groups[name] = state
	}
	return state
}

// markUsed records that a statement needs a group now.
func (g *Gateway) markUsed(held *ctlock.Held, name ctid.Group) {
	now := g.Clock.Now()
	g.groups.With(held, func(groups map[ctid.Group]*groupState) { groupStateOf(groups, name).lastUsed = now })
}

// groupsInUse returns the groups of the view that this proxy's callers use. The number
// of connections and the size of reports thus grow with these groups, not with those
// of the fleet. If the fleet has at most ctview.TrackAllLimit groups, it returns all of
// them, so that the first statement finds a connection and a sample.
func (g *Gateway) groupsInUse(held *ctlock.Held, view *ctview.View) []ctview.Group {
	used := make([]ctview.Group, 0, min(len(view.Groups), ctview.TrackAllLimit))
	oldest := g.Clock.Now().Add(-groupUseTTL)
	g.groups.With(held, func(groups map[ctid.Group]*groupState) {
		for name, group := range view.Groups {
			state, ok := groups[name]
			inUse := ok && (state.runningAtPrimary > 0 || state.lastUsed.After(oldest))
			if inUse || len(view.Groups) <= ctview.TrackAllLimit {
				used = append(used, group)
			}
		}
	})
	return used
}

// enforceFences enforces the fences of a view and reports whether it enforces one
// that it did not before. The fence of a retiring primary waits for what still runs
// there, for at most retiringGrace.
func (g *Gateway) enforceFences(held *ctlock.Held, view *ctview.View) bool {
	now := g.Clock.Now()
	changed := false
	g.groups.With(held, func(groups map[ctid.Group]*groupState) {
		for name, group := range view.Groups {
			if !group.ChangingPrimary() {
				continue
			}
			state := groupStateOf(groups, name)
			if state.knownFence != group.Fence {
				state.knownFence, state.knownFenceSince = group.Fence, now
			}
			wait := group.PrimaryRetiring() && state.runningAtPrimary > 0 && now.Sub(state.knownFenceSince) < retiringGrace
			if state.enforcedFence >= group.Fence || wait {
				continue
			}
			state.enforcedFence = group.Fence
			changed = true
			ctlog.Decision(&g.Logger, "keep_fence").Str("group", string(name)).
				Uint64("fence", uint64(group.Fence)).Stringer("acknowledged", state.lastAcknowledged).Send()
		}
	})
	return changed
}

// enforcedFence returns the fence of a group that this proxy enforces; 0 if none.
func (g *Gateway) enforcedFence(held *ctlock.Held, name ctid.Group) ctposition.Term {
	var fence ctposition.Term
	g.groups.With(held, func(groups map[ctid.Group]*groupState) { fence = groupStateOf(groups, name).enforcedFence })
	return fence
}

// beginAtPrimary counts a connection that begins to run work at a group's primary.
func (g *Gateway) beginAtPrimary(held *ctlock.Held, name ctid.Group) {
	g.groups.With(held, func(groups map[ctid.Group]*groupState) { groupStateOf(groups, name).runningAtPrimary++ })
}

// expectedChangeEnd returns when the current change of a group's primary should be
// complete. It returns the zero time if no change is in progress.
func (g *Gateway) expectedChangeEnd(held *ctlock.Held, group ctview.Group) time.Time {
	if !group.ChangingPrimary() {
		return time.Time{}
	}
	var end time.Time
	g.groups.With(held, func(groups map[ctid.Group]*groupState) {
		if state := groupStateOf(groups, group.Name); state.knownFence == group.Fence {
			end = state.knownFenceSince.Add(primaryChangeTimeout)
		}
	})
	return end
}

// endAtPrimary undoes one beginAtPrimary. If it was the last one, a fence that waited
// for it is enforced.
func (g *Gateway) endAtPrimary(held *ctlock.Held, name ctid.Group) {
	fenceDue := false
	g.groups.With(held, func(groups map[ctid.Group]*groupState) {
		state := groupStateOf(groups, name)
		state.runningAtPrimary--
		fenceDue = state.runningAtPrimary == 0 && state.knownFence > state.enforcedFence
	})
	if fenceDue && g.enforceFences(held, g.State.View(held)) {
		g.TriggerReport()
	}
}

// termEnded reports whether the primary of a term has been replaced, or is being replaced
// and this proxy enforces the fence. The view alone shows a change that has ended before
// this proxy learned of it.
func (g *Gateway) termEnded(held *ctlock.Held, name ctid.Group, term ctposition.Term) bool {
	return g.State.View(held).Groups[name].Term > term || g.enforcedFence(held, name) > term
}

// acknowledge reports whether a write that ran at the primary of a term may be
// acknowledged, and records its point if so. It may not if the proxy's authority has
// expired, if a later term is in the view or if a later term's fence is enforced.
//
// The authority is read first: the reply that extended it was applied to the view before.
func (g *Gateway) acknowledge(
	held *ctlock.Held, name ctid.Group, term ctposition.Term, point ctposition.Point,
) bool {
	if !g.Clock.Now().Before(g.State.AuthorityExpiry(held)) || g.State.View(held).Groups[name].Term > term {
		return false
	}
	allowed := false
	g.groups.With(held, func(groups map[ctid.Group]*groupState) {
		state := groupStateOf(groups, name)
		if allowed = state.enforcedFence <= term; allowed {
			state.lastAcknowledged = ctposition.Later(state.lastAcknowledged, point)
		}
	})
	return allowed
}

// GroupStatus returns what the next report to control says of the primaries of the
// groups in use, and of the fences that this proxy enforces.
func (g *Gateway) GroupStatus(held *ctlock.Held) ctuplink.GroupStatus {
	var status ctuplink.GroupStatus
	view := g.State.View(held)
	for _, group := range g.groupsInUse(held, view) {
		if group.Primary == "" {
			continue
		}
		switch g.Pools.Reachability(held, group.Primary) {
		case ctpools.Reachable:
			status.Reachable = append(status.Reachable, group.Primary)
		case ctpools.Unreachable:
			status.Unreachable = append(status.Unreachable, group.Primary)
		case ctpools.ReachabilityUnknown:
		}
	}
	g.groups.With(held, func(groups map[ctid.Group]*groupState) {
		for name, state := range groups {
			if group := view.Groups[name]; group.ChangingPrimary() && state.enforcedFence > 0 {
				status.Fences = append(status.Fences, ctview.FenceReport{
					Group: name, Fence: state.enforcedFence, LastAcknowledged: state.lastAcknowledged,
				})
			}
		}
	})
	return status
}
