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

// The margins of choices.
const (
	// staleMargin is how much younger than the route asks a replica's data are.
	staleMargin = 100 * time.Millisecond
	// leavingTime is how long a primary that leaves still gets new work, while no
	// other one is promoted.
	leavingTime = 5 * time.Second
)

// choices returns the members that may run the statement, in the order in which
// they are to be tried.
func (c *conversation) choices(a *attempt) []choice {
	g := c.gateway
	now := g.Clock.Now()
	view := g.State.View(&c.held)
	decided := view.Groups[c.route.Group]
	need, fresh := c.replicaNeed(a, now)
	var candidates []ctplace.Candidate
	if g.State.ConfigOutdated(&c.held) {
		return nil
	}
	for _, name := range view.MembersOf(c.route.Group) {
		known, ok := g.Pools.Member(&c.held, name)
		if !ok || a.tried.Has(name) {
			continue
		}
		primary := name == decided.Primary
		if primary && !c.primaryAllowed(now, decided, known) {
			continue
		}
		if !primary && (!fresh || known.Server.State != ctserver.StateReady) {
			continue
		}
		candidates = append(candidates, ctplace.Candidate{
			Member:          name,
			Primary:         primary,
			Local:           known.Server.FailureDomain == g.FailureDomain,
			Latency:         known.Load,
			Running:         known.Running,
			FreeConnections: known.Free,
			Applied:         known.Applied,
			AvoidUntil:      known.AvoidUntil,
		})
	}
	var order []choice
	for _, candidate := range ctplace.Order(now, candidates) {
		chosen := choice{member: candidate.Member, primary: candidate.Primary, term: decided.Term}
		if !candidate.Primary {
			chosen.need = need
		}
		order = append(order, chosen)
	}
	return order
}

// replicaNeed returns what a replica must have applied to run the statement, and
// whether a replica may run it at all.
func (c *conversation) replicaNeed(a *attempt, now time.Time) (ctposition.Point, bool) {
	if a.run.Primary || c.route.Freshness == ctconfig.FreshnessPrimary {
		return ctposition.Point{}, false
	}
	staleness := time.Duration(c.route.MaxStaleness) - staleMargin
	need, known := c.gateway.need(&c.held, c.route.Group, now.Add(-staleness))
	if !known {
		return ctposition.Point{}, false
	}
	if ctdialog.ReadsOwnWrites(&c.route) {
		need = ctposition.Later(need, c.dialog.Written)
	}
	return need, true
}

// primaryAllowed reports whether the proxy may send work to a group's primary.
func (c *conversation) primaryAllowed(now time.Time, decided ctview.Group, known ctpools.MemberState) bool {
	if decided.ChangingPrimary() || !now.Before(c.gateway.State.AuthorityExpiry(&c.held)) {
		return false
	}
	return known.LeavingSince.IsZero() || now.Sub(known.LeavingSince) < leavingTime
}

// log writes the line of a statement's decision and counts it.
func (c *conversation) log(a *attempt, result ctdialog.Result, answer ctquery.Answer) {
	g := c.gateway
	now := g.Clock.Now()
	took := now.Sub(a.began)
	view := g.State.View(&c.held)
	role := ctserver.RoleReplica
	if a.choice.primary {
		role = ctserver.RolePrimary
	}
	outcome := answer.Fault.String()
	if answer.OK() {
		outcome = "ran"
	}
	g.Metrics.Requests.WithLabelValues(string(c.route.Group), string(role), outcome).Inc()
	g.Metrics.RequestSeconds.WithLabelValues(string(role)).Observe(took.Seconds())
	ctlog.Decision(&g.Logger, "run").
		Str("request", string(a.run.Query.ID)).
		Uint64("session", uint64(c.id)).
		Str("group", string(c.route.Group)).
		Str("member", string(a.choice.member)).
		Str("role", string(role)).
		Uint64("term", uint64(a.choice.term)).
		Stringer("need", a.choice.need).
		Int("asked", a.asked).
		Stringer("revision", view.Config.Revision).
		Uint64("view", uint64(view.Version)).
		Dur("authority", g.State.AuthorityExpiry(&c.held).Sub(now)).
		Str("outcome", outcome).
		Str("why", why(result, a)).
		Dur("took", took).
		Send()
}

func why(result ctdialog.Result, a *attempt) string {
	switch r := result.(type) {
	case ctdialog.Replied:
		if !r.Authorized {
			return "no_authority_at_the_answer"
		}
		return "answered"
	case ctdialog.Refused:
		return "no_member_in_time_after_" + a.fault.String()
	case ctdialog.Unanswered:
		if r.TimedOut {
			return "no_answer_in_time"
		}
		return "connection_lost"
	}
	return ""
}
