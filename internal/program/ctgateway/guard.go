package ctgateway

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

const (
	// guardQueryTimeout bounds one query for the status of a guard member.
	guardQueryTimeout = 300 * time.Millisecond
	// guardRetryDelay is the pause before a guard member that lacks a commit is queried again.
	guardRetryDelay = 10 * time.Millisecond
	// guardTTL is how long after an answer of a guard member writes may run, and
	// guardRefreshInterval the age of the newest answer after which the proxy queries it.
	guardTTL             = 800 * time.Millisecond
	guardRefreshInterval = 300 * time.Millisecond
)

// A guard member is one other than the primary that the external service may still promote. It
// may lead the next term at any moment, with what it holds then.

// heldByGuards waits until each guard member of a group is known to hold a commit of a term, and
// reports whether that happened before the deadline.
func (g *Gateway) heldByGuards(
	held *ctlock.Held, name ctid.Group, term ctposition.Term, point ctposition.Point, deadline time.Time,
) bool {
	var holders ctset.Set[ctid.Member]
	for {
		member, waiting := g.nextGuard(held, name, term, &holders)
		if !waiting {
			return true
		}
		status, err := g.queryGuard(held, name, member, earlier(deadline, g.Clock.Now().Add(guardQueryTimeout)))
		if err == nil && ctpromotion.Holds(status, point) {
			g.Metrics.GuardedCommits.WithLabelValues("held").Inc()
			holders.Add(member)
			continue
		}
		if !g.Clock.Now().Add(guardRetryDelay).Before(deadline) {
			g.Metrics.GuardedCommits.WithLabelValues("not_held").Inc()
			g.Logger.Info().Str("event", "commit_not_held").Str("group", string(name)).
				Str("member", string(member)).Stringer("point", point).Send()
			return false
		}
		<-g.Clock.After(guardRetryDelay)
	}
}

// nextGuard returns a guard member that is not known to hold a commit, if there is one. It
// reads the view again each time: a promotion may have been settled meanwhile. In a later
// term the commit is not acknowledged anyway.
func (g *Gateway) nextGuard(
	held *ctlock.Held, name ctid.Group, term ctposition.Term, holders *ctset.Set[ctid.Member],
) (ctid.Member, bool) {
	group := g.State.View(held).Groups[name]
	if group.Term > term {
		return "", false
	}
	for _, member := range group.GuardMembers() {
		if !holders.Has(member) {
			return member, true
		}
	}
	return "", false
}

// queryGuard returns the status of a guard member of a group, and records that it answered.
func (g *Gateway) queryGuard(
	held *ctlock.Held, name ctid.Group, member ctid.Member, deadline time.Time,
) (ctquery.Status, error) {
	status, err := g.queryStatus(held, member, deadline)
	if err == nil {
		now := g.Clock.Now()
		g.groups.With(held, func(groups map[ctid.Group]*groupState) {
			state := groupStateOf(groups, name)
			if state.guardsHeard == nil {
				state.guardsHeard = make(map[ctid.Member]time.Time)
			}
			state.guardsHeard[member] = now
		})
	}
	return status, err
}

// queryStatus returns the status of a member.
func (g *Gateway) queryStatus(held *ctlock.Held, member ctid.Member, deadline time.Time) (ctquery.Status, error) {
	conn, err := g.Pools.Acquire(held, member, ctpools.AcquireOptions{AnyWorkspace: true, Deadline: deadline})
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

// guardsAnswer reports whether each guard member of a group has answered this proxy within
// guardTTL. Otherwise a write could not be acknowledged.
func (g *Gateway) guardsAnswer(held *ctlock.Held, group *ctview.Group) bool {
	answer := true
	now := g.Clock.Now()
	members := group.GuardMembers()
	g.groups.With(held, func(groups map[ctid.Group]*groupState) {
		for _, member := range members {
			answer = answer && now.Sub(groupStateOf(groups, group.Name).guardsHeard[member]) < guardTTL
		}
	})
	return answer
}

// refreshGuards queries those guard members of the groups in use whose newest answer is older
// than guardRefreshInterval.
func (g *Gateway) refreshGuards(held *ctlock.Held, used []ctview.Group) {
	for _, group := range used {
		for _, member := range group.GuardMembers() {
			now := g.Clock.Now()
			due := false
			g.groups.With(held, func(groups map[ctid.Group]*groupState) {
				state := groupStateOf(groups, group.Name)
				due = !state.queryingGuard && now.Sub(state.guardsHeard[member]) > guardRefreshInterval
				state.queryingGuard = state.queryingGuard || due
			})
			if due {
				go g.refreshGuard(group.Name, member)
			}
		}
	}
}

// refreshGuard queries a guard member of a group.
func (g *Gateway) refreshGuard(name ctid.Group, member ctid.Member) {
	var held ctlock.Held
	defer g.groups.With(&held, func(groups map[ctid.Group]*groupState) {
		groupStateOf(groups, name).queryingGuard = false
	})
	_, err := g.queryGuard(&held, name, member, g.Clock.Now().Add(guardQueryTimeout))
	if err != nil {
		g.Metrics.GuardedCommits.WithLabelValues("no_answer").Inc()
	}
}
