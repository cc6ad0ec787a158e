package ctgateway

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// PlacementPath is the path on the metrics listener of a proxy that answers a Placement. Its
// parameters are database, workspace and kind.
const PlacementPath = "/placement"

// StatementKind is the kind of the statement that a placement is for.
type StatementKind string

// The kinds. A transaction is one that may write.
const (
	KindRead        StatementKind = "read"
	KindWrite       StatementKind = "write"
	KindTransaction StatementKind = "transaction"
)

// Check returns an error of kind cterror.Invalid for an unknown kind.
func (k StatementKind) Check() error {
	switch k {
	case KindRead, KindWrite, KindTransaction:
		return nil
	}
	return cterror.Newf(cterror.Invalid, "use read, write or transaction", "the kind of statement %q is unknown", k)
}

// Placement says which member would run a statement now, and why.
type Placement struct {
	Database  ctid.Database  `json:"database"`
	Workspace ctid.Workspace `json:"workspace,omitempty"`
	Kind      StatementKind  `json:"kind"`
	Group     ctid.Group     `json:"group"`
	Proxy     ctid.Proxy     `json:"proxy"`
	// Member is empty if none may run the statement. Why is the reason of the choice.
	Member ctid.Member    `json:"member,omitempty"`
	Why    ctplace.Reason `json:"why,omitempty"`
	// ConfigOutdated reports that the proxy runs nothing until it has the newest configuration.
	ConfigOutdated bool `json:"config_outdated,omitempty"`
	// Limit is the configured rate limit of the workspace; nil if it has none.
	Limit *ctconfig.RateLimit `json:"limit,omitempty"`
	// Members has the candidates in the order of their preference, and behind them the members
	// that may not run the statement.
	Members []PlacementMember `json:"members"`
}

// PlacementMember is what the proxy knows of a member. The times are in milliseconds, and ages
// are -1 if there is no information.
type PlacementMember struct {
	Member  ctid.Member `json:"member"`
	Primary bool        `json:"primary"`
	// Excluded says why the member may not run the statement. The fields below are set only
	// for candidates.
	Excluded string `json:"excluded,omitempty"`
	Class    string `json:"class,omitempty"`
	WaitMS   int64  `json:"wait_ms"`
	// AnswerAgeMS is the age of the last answer, HintAgeMS that of the load that a forwarding
	// proxy reported, and HintMS the load.
	AnswerAgeMS int64 `json:"answer_age_ms"`
	HintAgeMS   int64 `json:"hint_age_ms"`
	HintMS      int64 `json:"hint_ms"`
	// Running counts the connections in use, and Free those that are idle or may be opened.
	Running int `json:"running"`
	Free    int `json:"free"`
	// AvoidedMS is how long the member comes last after a fault.
	AvoidedMS int64  `json:"avoided_ms"`
	Standing  string `json:"standing,omitempty"`
	Ejected   bool   `json:"ejected,omitempty"`
	// Through has the proxies over which the statement reaches the member, the first one first.
	Through []ctid.Proxy `json:"through,omitempty"`
}

// Explain returns where a statement of a new session would run now. The error is of kind
// cterror.Invalid if the kind is unknown, or if the configuration has no such route or workspace.
func (g *Gateway) Explain(
	database ctid.Database, workspace ctid.Workspace, kind StatementKind,
) (*Placement, error) {
	if err := kind.Check(); err != nil {
		return nil, err
	}
	s := &session{gateway: g}
	document := &g.State.View(&s.held).Config.Document
	var found bool
	if s.route, found = document.Route(database); !found {
		return nil, cterror.Newf(cterror.Invalid, "name a database of a route", "no route has the database %q", database)
	}
	if s.workspace, found = document.Workspace(workspace); workspace != "" && !found {
		return nil, cterror.Newf(cterror.Invalid, "name a declared workspace", "the workspace %q is not declared", workspace)
	}
	now := g.Clock.Now()
	placement := &Placement{
		Database: database, Workspace: workspace, Kind: kind, Group: s.route.Group, Proxy: g.Pools.Self.Name,
		ConfigOutdated: g.State.ConfigOutdated(&s.held), Limit: s.workspace.Limit,
	}
	c := s.candidates(&execution{run: ctdialog.Run{Primary: kind != KindRead}}, now)
	decision := ctplace.Decide(now, g.Pools.PolicyInForce(), c.members, c.proxies, g.Random)
	for _, r := range decision.Ranked {
		member := explainMember(now, r)
		member.Through = g.Pools.PathTo(&s.held, r.Member, workspace)
		placement.Members = append(placement.Members, member)
	}
	if len(decision.Ranked) > 0 {
		placement.Member, placement.Why = decision.Ranked[0].Member, decision.Why
	}
	view := g.State.View(&s.held)
	for _, name := range view.MembersOf(s.route.Group) {
		if why, ok := c.excluded[name]; ok {
			primary := name == view.Groups[s.route.Group].Primary
			placement.Members = append(placement.Members, PlacementMember{
				Member: name, Primary: primary, Excluded: string(why), AnswerAgeMS: -1, HintAgeMS: -1,
			})
		}
	}
	return placement, nil
}

// explainMember returns what a decision knows of a candidate.
func explainMember(now time.Time, r ctplace.Ranked) PlacementMember {
	m := PlacementMember{
		Member: r.Member, Primary: r.Primary, Class: r.Class.String(), WaitMS: r.Wait.Milliseconds(),
		AnswerAgeMS: ageMS(now, r.Latency.ObservedAt()), HintAgeMS: ageMS(now, r.Hint.ReceivedAt),
		HintMS: r.Hint.Excess.Milliseconds(), Running: r.Running, Free: r.FreeConnections,
		AvoidedMS: max(0, r.AvoidUntil.Sub(now)).Milliseconds(), Ejected: r.Ejected,
	}
	switch r.Standing.(type) {
	case ctplace.Ejected:
		m.Standing = "ejected"
	case ctplace.Readmitting:
		m.Standing = "readmitting"
	default:
		m.Standing = "serving"
	}
	return m
}

// ageMS returns the time since at in milliseconds, or -1 if at is zero.
func ageMS(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
