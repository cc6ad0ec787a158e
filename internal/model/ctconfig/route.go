package ctconfig

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// Freshness says which commits the reads of a route must show.
type Freshness string

// The values of Freshness.
const (
	// FreshnessPrimary reads show every acknowledged commit.
	FreshnessPrimary Freshness = "primary"
	// FreshnessBounded reads show every commit that was acknowledged more than
	// MaxStaleness ago.
	FreshnessBounded Freshness = "bounded"
	// FreshnessSession reads show the same commits as FreshnessBounded reads, and all
	// commits of their own session.
	FreshnessSession Freshness = "session"
)

// Route maps the sessions of a database name to a group.
type Route struct {
	Name      string        `json:"name" cbor:"name"`
	Database  ctid.Database `json:"database" cbor:"database"`
	Group     ctid.Group    `json:"group" cbor:"group"`
	Freshness Freshness     `json:"freshness" cbor:"freshness"`
	// MaxStaleness is the highest age of the data that bounded and session reads
	// return.
	MaxStaleness Duration `json:"max_staleness,omitempty" cbor:"max_staleness,omitempty"`
	// StatementTimeout is the longest time that one statement may take.
	StatementTimeout Duration `json:"statement_timeout" cbor:"statement_timeout"`
	// TargetLatency is the time within which a caller wants its whole operation to
	// complete.
	TargetLatency Duration `json:"target_latency,omitempty" cbor:"target_latency,omitempty"`
	// Priority is 0 for the most urgent routes, and higher for less urgent ones.
	Priority int `json:"priority,omitempty" cbor:"priority,omitempty"`
	// Anonymous reports whether callers without a known key are served, although the
	// document requires keys.
	Anonymous bool `json:"anonymous,omitempty" cbor:"anonymous,omitempty"`
}

// Check returns an error of kind cterror.Invalid for the first invalid field.
func (r *Route) Check() error {
	if err := r.Database.Check(); err != nil {
		return err
	}
	switch r.Freshness {
	case FreshnessPrimary, FreshnessBounded, FreshnessSession:
	default:
		return cterror.Newf(cterror.Invalid, "use primary, bounded or session",
			"route %q has freshness %q", r.Name, r.Freshness)
	}
	if r.StatementTimeout <= 0 {
		return cterror.Newf(cterror.Invalid, "give a time above 0", "route %q has no statement timeout", r.Name)
	}
	return nil
}

// checkRoutes checks the routes. declared contains the names of all groups.
func (d *Document) checkRoutes(declared ctset.Set[ctid.Group]) error {
	var seen ctset.Set[ctid.Database]
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.Check(); err != nil {
			return err
		}
		if !declared.Has(r.Group) {
			return cterror.Newf(cterror.Invalid, "declare the group or remove the route",
				"route %q leads to group %q, which is not declared", r.Name, r.Group)
		}
		if !seen.Add(r.Database) {
			return cterror.Newf(cterror.Invalid, "remove one of them", "database %q has two routes", r.Database)
		}
	}
	return nil
}

// Route returns the route of a database name, and whether there is one.
func (d *Document) Route(database ctid.Database) (Route, bool) {
	for i := range d.Routes {
		if d.Routes[i].Database == database {
			return d.Routes[i], true
		}
	}
	return Route{}, false
}
