package ctgateway

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
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

// targets returns the members that may run the statement and were not tried yet,
// best first. It returns none while this proxy's configuration is outdated.
func (s *session) targets(e *execution) []target {
	g := s.gateway
	now := g.Clock.Now()
	view := g.State.View(&s.held)
	group := view.Groups[s.route.Group]
	minPoint, replicaAllowed := s.replicaMinPoint(e, now)
	var candidates []ctplace.Candidate
	if g.State.ConfigOutdated(&s.held) {
		return nil
	}
	for _, name := range view.MembersOf(s.route.Group) {
		state, ok := g.Pools.Member(&s.held, name)
		if !ok || e.tried.Has(name) {
			continue
		}
		primary := name == group.Primary
		if primary && !s.primaryAllowed(e, now, group, state) {
			continue
		}
		if !primary && (!replicaAllowed || state.Server.State != ctserver.StateReady) {
			continue
		}
		candidates = append(candidates, ctplace.Candidate{
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
	targets := s.order(now, candidates, len(view.Proxies))
	for i := range targets {
		targets[i].term = group.Term
		if !targets[i].primary {
			targets[i].minPoint = minPoint
		}
	}
	return targets
}

// order returns the candidates as targets, the one that is to run the statement first. proxies is
// the number of proxies in the fleet.
func (s *session) order(now time.Time, candidates []ctplace.Candidate, proxies int) []target {
	g := s.gateway
	var targets []target
	if !g.Pools.Balanced() {
		for _, c := range ctplace.Order(now, candidates) {
			targets = append(targets, target{member: c.Member, primary: c.Primary})
		}
		return targets
	}
	decision := ctplace.Choose(now, candidates, proxies, g.Random)
	for _, c := range decision.Ranked {
		targets = append(targets, target{member: c.Member, primary: c.Primary, choice: decision.Why, wait: c.Wait})
	}
	if len(targets) > 0 {
		g.Metrics.Choices.WithLabelValues(string(decision.Why)).Inc()
	}
	if decision.Why == ctplace.ReasonReadmission {
		g.Pools.Probe(&s.held, targets[0].member)
	}
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
	if e.target.choice != "" {
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
