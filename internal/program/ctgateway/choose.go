package ctgateway

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
)

// Limits on which members may run a statement.
const (
	// stalenessMargin is subtracted from a route's maximum staleness: a replica's
	// data must be fresher than the route requires by this much.
	stalenessMargin = 100 * time.Millisecond
	// leavingPrimaryGrace is how long a primary that is leaving still gets new work
	// while no other member has been promoted.
	leavingPrimaryGrace = 5 * time.Second
)

// exclusion is why a member may not run a statement; empty if it may.
type exclusion string

// The exclusions. A replica is not allowed if the statement needs the primary, or while it is
// unknown which point replicas must have applied.
const (
	excludedPrimary exclusion = "primary_not_allowed"
	excludedReplica exclusion = "replica_not_allowed"
	excludedLeaving exclusion = "not_ready"
)

// candidates are the members that may run a statement.
type candidates struct {
	members []ctplace.Candidate
	// excluded says why the others may not. Members that were tried are in neither.
	excluded map[ctid.Member]exclusion
	term     ctposition.Term
	minPoint ctposition.Point
	// proxies is the number of proxies in the fleet.
	proxies int
}

// candidates returns the members that may run the statement and were not tried yet.
// It returns none while this proxy's configuration is outdated.
func (s *session) candidates(e *execution, now time.Time) candidates {
	g := s.gateway
	view := g.State.View(&s.held)
	group := view.Groups[s.route.Group]
	minPoint, replicaAllowed := s.replicaMinPoint(e, now)
	c := candidates{
		excluded: make(map[ctid.Member]exclusion), term: group.Term, minPoint: minPoint, proxies: len(view.Proxies),
	}
	if g.State.ConfigOutdated(&s.held) {
		return c
	}
	for _, name := range view.MembersOf(s.route.Group) {
		state, ok := g.Pools.Member(&s.held, name)
		if !ok || e.tried.Has(name) {
			continue
		}
		primary := name == group.Primary
		why := exclusion("")
		switch {
		case primary && !s.primaryAllowed(e, now, group, state):
			why = excludedPrimary
		case !primary && !replicaAllowed:
			why = excludedReplica
		case !primary && state.Server.State != ctserver.StateReady:
			why = excludedLeaving
		}
		if why != "" {
			c.excluded[name] = why
			continue
		}
		c.members = append(c.members, ctplace.Candidate{
			Member:          name,
			Primary:         primary,
			Local:           state.Server.FailureDomain == g.FailureDomain,
			Latency:         state.Latency,
			Running:         state.Running,
			FreeConnections: state.Free,
			Applied:         state.Applied,
			AvoidUntil:      state.AvoidUntil,
			Hint:            state.Hint,
			Standing:        state.Standing,
		})
	}
	return c
}

// targets returns the members that may run the statement and were not tried yet, the one that
// is to run it first.
func (s *session) targets(e *execution) []target {
	g := s.gateway
	now := g.Clock.Now()
	c := s.candidates(e, now)
	if len(c.members) == 0 {
		return nil
	}
	decision := ctplace.Decide(now, g.Pools.PolicyInForce(), c.members, c.proxies, g.Random)
	targets := make([]target, len(decision.Ranked))
	for i, r := range decision.Ranked {
		targets[i] = target{member: r.Member, primary: r.Primary, term: c.term, choice: decision.Why, wait: r.Wait}
		if !r.Primary {
			targets[i].minPoint = c.minPoint
		}
	}
	if decision.Why == ctplace.ReasonReadmission {
		g.Pools.Probe(&s.held, targets[0].member)
	}
	g.Metrics.Choices.WithLabelValues(string(decision.Why)).Inc()
	return targets
}

// replicaMinPoint returns the point that a replica must have applied to run the
// statement, and whether a replica may run it at all.
func (s *session) replicaMinPoint(e *execution, now time.Time) (ctposition.Point, bool) {
	if e.run.Primary || s.route.Freshness == ctconfig.FreshnessPrimary {
		return ctposition.Point{}, false
	}
	staleness := time.Duration(s.route.MaxStaleness) - stalenessMargin
	point, known := s.gateway.minPoint(&s.held, s.route.Group, now.Add(-staleness))
	if !known {
		return ctposition.Point{}, false
	}
	if ctdialog.ReadsOwnWrites(&s.route) {
		point = ctposition.Later(point, s.dialog.Written)
	}
	return point, true
}

// primaryAllowed reports whether the proxy may send new work to a group's primary.
// It may not while the primary is being changed, without authority, or once the
// primary has been leaving for leavingPrimaryGrace. Writes need the group's guards too.
func (s *session) primaryAllowed(e *execution, now time.Time, group ctview.Group, state ctpools.MemberState) bool {
	if group.ChangingPrimary() || !now.Before(s.gateway.State.AuthorityExpiry(&s.held)) {
		return false
	}
	if e.run.Primary && !s.gateway.guardsAnswer(&s.held, &group) {
		return false
	}
	return state.LeavingSince.IsZero() || now.Sub(state.LeavingSince) < leavingPrimaryGrace
}

// logDecision logs how a statement was executed and updates the request metrics.
func (s *session) logDecision(e *execution, result ctdialog.Result, answer ctquery.Answer) {
	g := s.gateway
	now := g.Clock.Now()
	elapsed := now.Sub(e.startedAt)
	view := g.State.View(&s.held)
	role := ctserver.RoleReplica
	if e.target.primary {
		role = ctserver.RolePrimary
	}
	outcome := answer.Fault.String()
	if answer.OK() {
		outcome = "ran"
	}
	g.Metrics.Requests.WithLabelValues(string(s.route.Group), string(role), outcome).Inc()
	g.Metrics.RequestSeconds.WithLabelValues(string(role)).Observe(elapsed.Seconds())
	event := ctlog.Decision(&g.Logger, "run").
		Str("request", e.run.Query.ID.ForLog()).
		Uint64("session", uint64(s.id)).
		Str("group", string(s.route.Group)).
		Str("workspace", string(s.workspace.Name)).
		Str("member", string(e.target.member)).
		Str("role", string(role)).
		Uint64("term", uint64(e.target.term)).
		Uint64("group_term", uint64(view.Groups[s.route.Group].Term)).
		Uint64("fence", uint64(g.enforcedFence(&s.held, s.route.Group))).
		Stringer("need", e.target.minPoint).
		Int("asked", e.attempts).
		Stringer("revision", view.Config.Revision).
		Uint64("view", uint64(view.Version)).
		Dur("authority", g.State.AuthorityExpiry(&s.held).Sub(now)).
		Str("outcome", outcome).
		Str("why", outcomeReason(result, e)).
		Dur("took", elapsed)
	if e.run.Effect == ctdialog.EffectDurable && answer.OK() {
		event.Stringer("point", answer.Point)
	}
	if e.target.choice != "" && e.target.choice != ctplace.ReasonLatency {
		event.Str("choice", string(e.target.choice)).Dur("wait", e.target.wait)
	}
	event.Send()
}

// outcomeReason returns the value of the log key "why" for a statement's result.
func outcomeReason(result ctdialog.Result, e *execution) string {
	switch r := result.(type) {
	case ctdialog.Replied:
		if !r.Authorized {
			return "no_authority_at_the_answer"
		}
		return "answered"
	case ctdialog.Refused:
		if e.refusal == refusalNoMember {
			return string(e.refusal) + e.lastFault.String()
		}
		return string(e.refusal)
	case ctdialog.Unanswered:
		if r.TimedOut {
			return "no_answer_in_time"
		}
		return "connection_lost"
	}
	return ""
}
