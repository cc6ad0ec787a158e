package ctgateway

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

const (
	// guardQueryTimeout bounds one query for the status of a guard.
	guardQueryTimeout = 300 * time.Millisecond
	// guardRetryDelay is the pause before a guard that lacks a commit is queried again.
	guardRetryDelay = 10 * time.Millisecond
	// guardMissTTL is how long writes are refused after a guard was not known to hold a commit
	// in time.
	guardMissTTL = time.Second
)

// heldByGuards waits until each member that the external service may still promote is known
// to hold a commit, and reports whether that happened before the deadline. Such a member
// may lead the next term at any moment, with what it holds then.
func (g *Gateway) heldByGuards(held *ctlock.Held, name ctid.Group, point ctposition.Point, deadline time.Time) bool {
	group := g.State.View(held).Groups[name]
	for _, member := range group.GuardMembers() {
		if !g.awaitHeld(held, member, point, deadline) {
			g.Metrics.GuardedCommits.WithLabelValues("not_held").Inc()
			g.recordGuardMiss(held, name)
			g.Logger.Info().Str("event", "commit_not_held").Str("group", string(name)).
				Str("member", string(member)).Stringer("point", point).Send()
			return false
		}
		g.Metrics.GuardedCommits.WithLabelValues("held").Inc()
	}
	return true
}

// awaitHeld queries a member until it holds a point, and reports whether it does before the
// deadline.
func (g *Gateway) awaitHeld(held *ctlock.Held, member ctid.Member, point ctposition.Point, deadline time.Time) bool {
	for {
		status, err := g.queryStatus(held, member, earlier(deadline, g.Clock.Now().Add(guardQueryTimeout)))
		if err == nil && ctpromotion.Holds(status, point) {
			return true
		}
		if !g.Clock.Now().Add(guardRetryDelay).Before(deadline) {
			return false
		}
		<-g.Clock.After(guardRetryDelay)
	}
}

// queryStatus returns the status of a member.
func (g *Gateway) queryStatus(held *ctlock.Held, member ctid.Member, deadline time.Time) (ctquery.Status, error) {
	conn, err := g.Pools.Acquire(held, member, ctpools.AcquireOptions{Deadline: deadline})
	if err != nil {
		return ctquery.Status{}, err
	}
	limits := ctpools.Limits{SendDeadline: deadline, Deadline: deadline}
	answer, err := conn.Run(nil, ctquery.Query{Statement: ctquery.ReadStatus{}}, limits)
	g.Pools.Release(held, conn, ctpools.Result{Answered: err == nil, Discard: err != nil})
	if err != nil {
		return ctquery.Status{}, err
	}
	return g.DecodeStatus(answer)
}

// recordGuardMiss records that a guard of a group did not hold a commit in time.
func (g *Gateway) recordGuardMiss(held *ctlock.Held, name ctid.Group) {
	now := g.Clock.Now()
	g.groups.With(held, func(groups map[ctid.Group]*groupState) { groupStateOf(groups, name).guardMissedAt = now })
}

// guardsReachable reports whether the group's guards are in the view and answer this proxy, as
// far as it knows. Without them no write can be acknowledged.
func (g *Gateway) guardsReachable(held *ctlock.Held, group *ctview.Group) bool {
	members := group.GuardMembers()
	if len(members) == 0 {
		return true
	}
	for _, member := range members {
		_, listed := g.Pools.Member(held, member)
		if !listed || g.Pools.Reachability(held, member) == ctpools.Unreachable {
			return false
		}
	}
	missed := false
	now := g.Clock.Now()
	g.groups.With(held, func(groups map[ctid.Group]*groupState) {
		missed = now.Sub(groupStateOf(groups, group.Name).guardMissedAt) < guardMissTTL
	})
	return !missed
}
