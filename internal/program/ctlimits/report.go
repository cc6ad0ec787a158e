package ctlimits

import (
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// A cap is logged when it changes by loggedFactor and by minLoggedChange at least.
const (
	loggedFactor    = 2
	minLoggedChange = 10
)

// QuotaDemands implements ctuplink.QuotaSource. It lists the workspaces that this proxy owns
// and those that it has used lately.
func (l *Limits) QuotaDemands(held *ctlock.Held, now time.Time) []ctview.QuotaDemand {
	var demands []ctview.QuotaDemand
	l.state.With(held, func(s *state) {
		for _, name := range s.owned {
			if s.limited.Has(name) {
				l.entryOf(s, name)
			}
		}
		s.reportedAt = now
		for _, name := range slices.Sorted(maps.Keys(s.entries)) {
			e := s.entries[name]
			if !s.mustKeep(name, e, now) {
				delete(s.entries, name)
				l.Metrics.QuotaCap.DeleteLabelValues(string(name))
				continue
			}
			d := e.share.Report(now, e.waiting)
			e.asked = e.waiting > 0
			demands = append(demands, ctview.QuotaDemand{
				Workspace: name, Cap: d.Cap,
				Started: min(d.Started, ctview.MaxOperations), Refused: min(d.Refused, ctview.MaxOperations),
			})
		}
	})
	return demands
}

// mustKeep reports whether reports list a workspace.
func (s *state) mustKeep(name ctid.Workspace, e *entry, now time.Time) bool {
	if !s.limited.Has(name) {
		return false
	}
	_, owns := slices.BinarySearch(s.owned, name)
	return owns || e.waiting > 0 || !e.share.Idle(now) || now.Sub(e.usedAt) < retentionTime
}

// RenewCaps implements ctuplink.QuotaSource.
func (l *Limits) RenewCaps(
	held *ctlock.Held, reported []ctview.QuotaDemand, grant *ctview.QuotaGrant, expiresAt time.Time,
) {
	caps := make(map[ctid.Workspace]ctview.QuotaCap, len(grant.Caps))
	for _, c := range grant.Caps {
		caps[c.Workspace] = c
	}
	l.state.With(held, func(s *state) {
		for i := range reported {
			name := reported[i].Workspace
			e, ok := s.entries[name]
			if !ok {
				continue
			}
			renewed, changed := caps[name]
			if !changed {
				renewed.Cap = reported[i].Cap
			}
			e.share.Renew(renewed.Cap, renewed.Limited, expiresAt)
			l.recordCap(name, e, renewed.Cap)
		}
		close(s.renewed)
		s.renewed = make(chan struct{})
	})
}

// recordCap updates the metric of a cap, and logs a cap that has changed much.
func (l *Limits) recordCap(name ctid.Workspace, e *entry, granted ctid.Operations) {
	l.Metrics.QuotaCap.WithLabelValues(string(name)).Set(float64(granted))
	low, high := min(granted, e.loggedCap), max(granted, e.loggedCap)
	if high < low*loggedFactor || high-low < minLoggedChange {
		return
	}
	ctlog.Decision(&l.Logger, "workspace_cap").Str("workspace", string(name)).
		Int64("cap", int64(granted)).Int64("before", int64(e.loggedCap)).
		Bool("limited", e.share.Limited()).Str("why", "granted").Send()
	e.loggedCap = granted
}
