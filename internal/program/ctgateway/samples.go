package ctgateway

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Limits on the samples of groups' logs.
const (
	// sampleRefreshInterval is the age of a group's newest sample after which the
	// proxy queries the primary for another one.
	sampleRefreshInterval = 1100 * time.Millisecond
	// sampleTimeout bounds the query for a sample.
	sampleTimeout = 300 * time.Millisecond
)

// sampleSource says where a sample of a group's log comes from. It is a label of metrics.
type sampleSource string

const (
	// sampleFromStatement: the answer to a caller's statement.
	sampleFromStatement sampleSource = "statement"
	// sampleFromQuery: the answer to a query of this proxy's own.
	sampleFromQuery sampleSource = "query"
	// sampleFromControl: a reply of control.
	sampleFromControl sampleSource = "control"
)

// addAnswerSample adds the point in a member's answer to a query sent at sentAt as a sample
// of the group's log, unless the member may have ceased to be the primary of the term. A
// member that has become a replica reports what it has applied, which may be long ago.
//
// A check at the answer suffices: nobody is promoted before the proxy's authority ends or
// it enforces the fence, so the member was the primary all along.
func (g *Gateway) addAnswerSample(
	held *ctlock.Held, name ctid.Group, term ctposition.Term, source sampleSource, sentAt time.Time,
	point ctposition.Point,
) {
	if !g.Clock.Now().Before(g.State.AuthorityExpiry(held)) || g.termEnded(held, name, term) {
		g.Metrics.SamplesDropped.WithLabelValues(string(source)).Inc()
		return
	}
	g.addSample(held, name, source, sentAt, point)
}

// addSample adds a sample of a group's log: the point in the primary's answer to a
// query sent at sentAt.
func (g *Gateway) addSample(
	held *ctlock.Held, name ctid.Group, source sampleSource, sentAt time.Time, point ctposition.Point,
) {
	term := g.State.View(held).Groups[name].Term
	g.Metrics.Samples.WithLabelValues(string(source)).Inc()
	if !point.IsZero() && point.Term < term {
		g.Logger.Debug().Str("event", "sample_of_earlier_term").Str("group", string(name)).
			Str("source", string(source)).Stringer("point", point).Uint64("group_term", uint64(term)).Send()
	}
	g.groups.With(held, func(groups map[ctid.Group]*groupState) { groupStateOf(groups, name).samples.Add(sentAt, point) })
}

// AddSample adds a sample that control passed on: the point in the primary's answer to
// a query that was sent no earlier than sentAt.
func (g *Gateway) AddSample(held *ctlock.Held, name ctid.Group, sentAt time.Time, point ctposition.Point) {
	g.addSample(held, name, sampleFromControl, sentAt, point)
}

// minPoint returns the point that a member must have applied for a read to see all
// writes acknowledged before a time. It reports whether such a point is known.
func (g *Gateway) minPoint(held *ctlock.Held, name ctid.Group, before time.Time) (ctposition.Point, bool) {
	var point ctposition.Point
	known := false
	g.groups.With(held, func(groups map[ctid.Group]*groupState) {
		point, known = groupStateOf(groups, name).samples.PointCovering(before)
	})
	return point, known
}

// refreshSamples queries the primaries of those groups in use whose newest sample is
// older than sampleRefreshInterval.
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
			go g.querySample(group)
		}
	}
}

// querySample queries a group's primary for its position in the log and adds the
// answer as a sample.
func (g *Gateway) querySample(group ctview.Group) {
	var held ctlock.Held
	defer g.groups.With(&held, func(groups map[ctid.Group]*groupState) {
		groupStateOf(groups, group.Name).sampling = false
	})
	deadline := g.Clock.Now().Add(sampleTimeout)
	conn, err := g.Pools.Acquire(&held, group.Primary, ctpools.AcquireOptions{AnyWorkspace: true, Deadline: deadline})
	if err != nil {
		return
	}
	sentAt := g.Clock.Now()
	limits := ctpools.Limits{SendDeadline: deadline, Deadline: deadline}
	answer, err := conn.Run(nil, ctquery.Query{Statement: ctquery.ReadStatus{}}, limits)
	result := ctpools.Result{Discard: err != nil}
	if err == nil {
		result.Answered = true
		g.addAnswerSample(&held, group.Name, group.Term, sampleFromQuery, sentAt, answer.Point)
	}
	g.Pools.Release(&held, conn, result)
}
