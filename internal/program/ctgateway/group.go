package ctgateway

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctfresh"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctuplink"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// The times of what a proxy keeps of a group.
const (
	// sampleRefreshInterval is how old the newest sample of a group's log may become.
	sampleRefreshInterval = 1100 * time.Millisecond
	// sampleTimeout bounds the taking of a sample.
	sampleTimeout = 300 * time.Millisecond
	// primaryChangeTimeout is how long a change of a primary takes at most, where nothing
	// stands in its way.
	primaryChangeTimeout = 1800 * time.Millisecond
	// retiringPrimaryGrace is how long what runs at a primary that leaves may take before
	// the proxy keeps to the fence.
	retiringPrimaryGrace = 1200 * time.Millisecond
	// groupUseTTL is how long after its last statement a group counts as in use.
	groupUseTTL = 20 * time.Second
)

// groupState is what a proxy keeps of a group.
type groupState struct {
	samples ctfresh.Samples
	// knownFence is the fence that is known, and since when.
	knownFence      ctposition.Term
	knownFenceSince time.Time
	// enforcedFence is the fence that the proxy keeps to: nothing of an earlier term is
	// acknowledged any more.
	enforcedFence    ctposition.Term
	lastAcknowledged ctposition.Point
	// runningAtPrimary counts what runs at the primary: writes and transactions.
	runningAtPrimary int
	// sampling reports that a sample is being taken.
	sampling bool
	// lastUsed is when a statement last needed the group.
	lastUsed time.Time
}

func groupStateOf(groups map[ctid.Group]*groupState, name ctid.Group) *groupState {
	state, ok := groups[name]
	if !ok {
		state = &groupState{}
		groups[name] = state
	}
	return state
}

// markUsed notes that a statement needs a group.
func (g *Gateway) markUsed(held *ctlock.Held, name ctid.Group) {
	now := g.Clock.Now()
	g.groups.With(held, func(groups map[ctid.Group]*groupState) { groupStateOf(groups, name).lastUsed = now })
}

// groupsInUse returns the groups that callers of this proxy use; all where there are few, so
// that the first statement finds a connection and a sample. What a proxy keeps up, and
// what it tells control, grows with them and not with all groups of the fleet.
func (g *Gateway) groupsInUse(held *ctlock.Held, view *ctview.View) []ctview.Group {
	used := make([]ctview.Group, 0, min(len(view.Groups), ctview.TrackAllLimit))
	oldest := g.Clock.Now().Add(-groupUseTTL)
	g.groups.With(held, func(groups map[ctid.Group]*groupState) {
		for name, group := range view.Groups {
			state, ok := groups[name]
			if len(view.Groups) <= ctview.TrackAllLimit || (ok && state.lastUsed.After(oldest)) {
				used = append(used, group)
			}
		}
	})
	return used
}

// enforceFences takes the fences of a view, and reports whether the proxy has
// come to keep to one. It waits a little for what runs at a primary that leaves.
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
			wait := group.PrimaryRetiring() && state.runningAtPrimary > 0 && now.Sub(state.knownFenceSince) < retiringPrimaryGrace
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

// beginAtPrimary counts something that runs at a group's primary.
func (g *Gateway) beginAtPrimary(held *ctlock.Held, name ctid.Group) {
	g.groups.With(held, func(groups map[ctid.Group]*groupState) { groupStateOf(groups, name).runningAtPrimary++ })
}

// expectedChangeEnd returns until when a change of a group's primary that is under way
// is expected to have ended; the zero time where there is none.
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

// endAtPrimary counts that it has ended, and keeps to a fence that waited for it.
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

// acknowledge reports whether a write may be acknowledged that ran at the primary
// of a term, and notes its point if so.
func (g *Gateway) acknowledge(
	held *ctlock.Held, name ctid.Group, term ctposition.Term, point ctposition.Point,
) bool {
	if !g.Clock.Now().Before(g.State.AuthorityExpiry(held)) {
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

// addSample takes the point that the primary's answer told, asked for at a time at
// which the proxy had authority.
func (g *Gateway) addSample(held *ctlock.Held, name ctid.Group, sentAt time.Time, point ctposition.Point) {
	g.groups.With(held, func(groups map[ctid.Group]*groupState) { groupStateOf(groups, name).samples.Add(sentAt, point) })
}

// AddSample takes the point that control was told by a group's primary.
func (g *Gateway) AddSample(held *ctlock.Held, name ctid.Group, sentAt time.Time, point ctposition.Point) {
	g.addSample(held, name, sentAt, point)
}

// minPoint returns the point that a read must find applied to show what was
// acknowledged before a time.
func (g *Gateway) minPoint(held *ctlock.Held, name ctid.Group, before time.Time) (ctposition.Point, bool) {
	var point ctposition.Point
	known := false
	g.groups.With(held, func(groups map[ctid.Group]*groupState) {
		point, known = groupStateOf(groups, name).samples.PointCovering(before)
	})
	return point, known
}

// refreshSamples takes samples of the groups in use whose newest one has become old.
func (g *Gateway) refreshSamples(held *ctlock.Held, used []ctview.Group) {
	now := g.Clock.Now()
	authority := g.State.AuthorityExpiry(held)
	for _, group := range used {
		if group.Primary == "" || group.ChangingPrimary() || !now.Before(authority) {
			continue
		}
		due := false
		g.groups.With(held, func(groups map[ctid.Group]*groupState) {
			state := groupStateOf(groups, group.Name)
			due = !state.sampling && now.Sub(state.samples.Newest()) > sampleRefreshInterval
			state.sampling = state.sampling || due
		})
		if due {
			go g.querySample(group.Name, group.Primary)
		}
	}
}

// querySample asks the primary for its place in the log.
func (g *Gateway) querySample(name ctid.Group, primary ctid.Member) {
	var held ctlock.Held
	defer g.groups.With(&held, func(groups map[ctid.Group]*groupState) { groupStateOf(groups, name).sampling = false })
	deadline := g.Clock.Now().Add(sampleTimeout)
	conn, err := g.Pools.Acquire(&held, primary, ctpools.AcquireOptions{Deadline: deadline})
	if err != nil {
		return
	}
	sentAt := g.Clock.Now()
	limits := ctpools.Limits{SendDeadline: deadline, Deadline: deadline}
	answer, err := conn.Run(nil, ctquery.Query{Statement: ctquery.ReadStatus{}}, limits)
	result := ctpools.Result{Discard: err != nil}
	if err == nil {
		result.Answered = true
		g.addSample(&held, name, sentAt, answer.Point)
	}
	g.Pools.Release(&held, conn, result)
}

// GroupStatus tells control what this proxy sees of the primaries.
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
