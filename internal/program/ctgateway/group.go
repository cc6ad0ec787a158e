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
	// refreshTime is how old the newest sample of a group's log may become.
	refreshTime = 1100 * time.Millisecond
	// sampleTime bounds the taking of a sample.
	sampleTime = 300 * time.Millisecond
	// changeTime is how long a change of a primary takes at most, where nothing
	// stands in its way.
	changeTime = 1800 * time.Millisecond
	// retireTime is how long what runs at a primary that leaves may take before
	// the proxy keeps to the fence.
	retireTime = 1200 * time.Millisecond
	// usedTime is how long after its last statement a group counts as in use.
	usedTime = 20 * time.Second
)

// group is what a proxy keeps of a group.
type group struct {
	samples ctfresh.Samples
	// fence is the fence that is known, and since when.
	fence      ctposition.Term
	fenceSince time.Time
	// fenced is the fence that the proxy keeps to: nothing of an earlier term is
	// acknowledged any more.
	fenced       ctposition.Term
	acknowledged ctposition.Point
	// busy counts what runs at the primary: writes and transactions.
	busy int
	// sampling reports that a sample is being taken.
	sampling bool
	// used is when a statement last needed the group.
	used time.Time
}

func rowOf(rows map[ctid.Group]*group, name ctid.Group) *group {
	row, ok := rows[name]
	if !ok {
		row = &group{}
		rows[name] = row
	}
	return row
}

// use notes that a statement needs a group.
func (g *Gateway) use(held *ctlock.Held, name ctid.Group) {
	now := g.Clock.Now()
	g.groups.With(held, func(rows map[ctid.Group]*group) { rowOf(rows, name).used = now })
}

// inUse returns the groups that callers of this proxy use; all where there are few, so
// that the first statement finds a connection and a sample. What a proxy keeps up, and
// what it tells control, grows with them and not with all groups of the fleet.
func (g *Gateway) inUse(held *ctlock.Held, view *ctview.View) []ctview.Group {
	used := make([]ctview.Group, 0, min(len(view.Groups), ctview.TrackAllLimit))
	oldest := g.Clock.Now().Add(-usedTime)
	g.groups.With(held, func(rows map[ctid.Group]*group) {
		for name, decided := range view.Groups {
			row, ok := rows[name]
			if len(view.Groups) <= ctview.TrackAllLimit || (ok && row.used.After(oldest)) {
				used = append(used, decided)
			}
		}
	})
	return used
}

// followFences takes the fences of a view, and reports whether the proxy has
// come to keep to one. It waits a little for what runs at a primary that leaves.
func (g *Gateway) followFences(held *ctlock.Held, view *ctview.View) bool {
	now := g.Clock.Now()
	news := false
	g.groups.With(held, func(rows map[ctid.Group]*group) {
		for name, decided := range view.Groups {
			if !decided.ChangingPrimary() {
				continue
			}
			row := rowOf(rows, name)
			if row.fence != decided.Fence {
				row.fence, row.fenceSince = decided.Fence, now
			}
			wait := decided.PrimaryRetiring() && row.busy > 0 && now.Sub(row.fenceSince) < retireTime
			if row.fenced >= decided.Fence || wait {
				continue
			}
			row.fenced = decided.Fence
			news = true
			ctlog.Decision(&g.Logger, "keep_fence").Str("group", string(name)).
				Uint64("fence", uint64(decided.Fence)).Stringer("acknowledged", row.acknowledged).Send()
		}
	})
	return news
}

// enter counts something that runs at a group's primary.
func (g *Gateway) enter(held *ctlock.Held, name ctid.Group) {
	g.groups.With(held, func(rows map[ctid.Group]*group) { rowOf(rows, name).busy++ })
}

// changeEnds returns until when a change of a group's primary that is under way
// is expected to have ended; the zero time where there is none.
func (g *Gateway) changeEnds(held *ctlock.Held, decided ctview.Group) time.Time {
	if !decided.ChangingPrimary() {
		return time.Time{}
	}
	var ends time.Time
	g.groups.With(held, func(rows map[ctid.Group]*group) {
		if row := rowOf(rows, decided.Name); row.fence == decided.Fence {
			ends = row.fenceSince.Add(changeTime)
		}
	})
	return ends
}

// leave counts that it has ended, and keeps to a fence that waited for it.
func (g *Gateway) leave(held *ctlock.Held, name ctid.Group) {
	waited := false
	g.groups.With(held, func(rows map[ctid.Group]*group) {
		row := rowOf(rows, name)
		row.busy--
		waited = row.busy == 0 && row.fence > row.fenced
	})
	if waited && g.followFences(held, g.State.View(held)) {
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
	g.groups.With(held, func(rows map[ctid.Group]*group) {
		row := rowOf(rows, name)
		if allowed = row.fenced <= term; allowed {
			row.acknowledged = ctposition.Later(row.acknowledged, point)
		}
	})
	return allowed
}

// sample takes the point that the primary's answer told, asked for at a time at
// which the proxy had authority.
func (g *Gateway) sample(held *ctlock.Held, name ctid.Group, sent time.Time, point ctposition.Point) {
	g.groups.With(held, func(rows map[ctid.Group]*group) { rowOf(rows, name).samples.Add(sent, point) })
}

// AddSample takes the point that control was told by a group's primary.
func (g *Gateway) AddSample(held *ctlock.Held, name ctid.Group, asked time.Time, point ctposition.Point) {
	g.sample(held, name, asked, point)
}

// need returns the point that a read must find applied to show what was
// acknowledged before a time.
func (g *Gateway) need(held *ctlock.Held, name ctid.Group, before time.Time) (ctposition.Point, bool) {
	var point ctposition.Point
	known := false
	g.groups.With(held, func(rows map[ctid.Group]*group) {
		point, known = rowOf(rows, name).samples.PointCovering(before)
	})
	return point, known
}

// refresh takes samples of the groups in use whose newest one has become old.
func (g *Gateway) refresh(held *ctlock.Held, used []ctview.Group) {
	now := g.Clock.Now()
	authority := g.State.AuthorityExpiry(held)
	for _, decided := range used {
		if decided.Primary == "" || decided.ChangingPrimary() || !now.Before(authority) {
			continue
		}
		due := false
		g.groups.With(held, func(rows map[ctid.Group]*group) {
			row := rowOf(rows, decided.Name)
			due = !row.sampling && now.Sub(row.samples.Newest()) > refreshTime
			row.sampling = row.sampling || due
		})
		if due {
			go g.takeSample(decided.Name, decided.Primary)
		}
	}
}

// takeSample asks the primary for its place in the log.
func (g *Gateway) takeSample(name ctid.Group, primary ctid.Member) {
	var held ctlock.Held
	defer g.groups.With(&held, func(rows map[ctid.Group]*group) { rowOf(rows, name).sampling = false })
	until := g.Clock.Now().Add(sampleTime)
	conn, err := g.Pools.Acquire(&held, primary, ctpools.AcquireOptions{Deadline: until})
	if err != nil {
		return
	}
	sent := g.Clock.Now()
	limits := ctpools.Limits{SendDeadline: until, Deadline: until}
	answer, err := conn.Run(nil, ctquery.Query{Statement: ctquery.ReadStatus{}}, limits)
	use := ctpools.Result{Discard: err != nil}
	if err == nil {
		use.Answered = true
		g.sample(&held, name, sent, answer.Point)
	}
	g.Pools.Release(&held, conn, use)
}

// GroupStatus tells control what this proxy sees of the primaries.
func (g *Gateway) GroupStatus(held *ctlock.Held) ctuplink.GroupStatus {
	var t ctuplink.GroupStatus
	view := g.State.View(held)
	for _, decided := range g.inUse(held, view) {
		if decided.Primary == "" {
			continue
		}
		switch g.Pools.Reachability(held, decided.Primary) {
		case ctpools.Reachable:
			t.Reachable = append(t.Reachable, decided.Primary)
		case ctpools.Unreachable:
			t.Unreachable = append(t.Unreachable, decided.Primary)
		case ctpools.ReachabilityUnknown:
		}
	}
	g.groups.With(held, func(rows map[ctid.Group]*group) {
		for name, row := range rows {
			if decided := view.Groups[name]; decided.ChangingPrimary() && row.fenced > 0 {
				t.Fences = append(t.Fences, ctview.FenceReport{
					Group: name, Fence: row.fenced, LastAcknowledged: row.acknowledged,
				})
			}
		}
	})
	return t
}
