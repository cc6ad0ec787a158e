package ctstate

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctroute"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// State is what a proxy process knows of the fleet.
type State struct {
	view   cttable.Cell[*ctview.View]
	leases cttable.Table[ctid.Group, lease]
	hints  cttable.Table[ctid.Member, ctroute.Hint]
	// authority is until when this process may act on the groups of its view.
	authority cttable.Cell[time.Time]
	// outdated reports that control has a newer configuration, which should be in
	// force here by now.
	outdated cttable.Cell[bool]
}

// lease is a write lease that this process was granted.
type lease struct {
	term  ctposition.Term
	until time.Time
	// surrendered is the highest term of which the lease was given up for good.
	surrendered ctposition.Term
}

// New returns a state that knows nothing.
func New() *State {
	s := &State{
		view:   cttable.Cell[*ctview.View]{Rank: ctlock.RankView},
		leases: cttable.Table[ctid.Group, lease]{Rank: ctlock.RankLeases},
		hints:  cttable.Table[ctid.Member, ctroute.Hint]{Rank: ctlock.RankHints},

		authority: cttable.Cell[time.Time]{Rank: ctlock.RankAuthority},
		outdated:  cttable.Cell[bool]{Rank: ctlock.RankAuthority},
	}
	var held ctlock.Held
	s.view.With(&held, func(value **ctview.View) { *value = &ctview.View{} })
	return s
}

// View returns the view in force.
func (s *State) View(held *ctlock.Held) *ctview.View {
	return s.view.Get(held)
}

// ApplyDelta takes a delta into the view and returns the views before and after.
func (s *State) ApplyDelta(held *ctlock.Held, delta *ctview.Delta) (before, after *ctview.View, err error) {
	s.view.With(held, func(value **ctview.View) {
		before = *value
		after, err = before.Apply(delta)
		*value = after
	})
	return before, after, err
}

// ApplyGroups takes the groups as control states them and returns the views before and
// after.
func (s *State) ApplyGroups(held *ctlock.Held, groups []ctview.Group) (before, after *ctview.View) {
	s.view.With(held, func(value **ctview.View) {
		before = *value
		after = before.WithGroups(groups)
		*value = after
	})
	return before, after
}

// ExtendAuthority records that this process may act on its view until a time.
func (s *State) ExtendAuthority(held *ctlock.Held, until time.Time) {
	s.authority.With(held, func(value *time.Time) {
		if until.After(*value) {
			*value = until
		}
	})
}

// AuthorityExpiry returns until when this process may act on the groups of its view.
func (s *State) AuthorityExpiry(held *ctlock.Held) time.Time {
	return s.authority.Get(held)
}

// SetConfigOutdated records whether this process lacks a configuration that should be in
// force here by now.
func (s *State) SetConfigOutdated(held *ctlock.Held, outdated bool) {
	s.outdated.With(held, func(value *bool) { *value = outdated })
}

// ConfigOutdated reports whether it does.
func (s *State) ConfigOutdated(held *ctlock.Held) bool {
	return s.outdated.Get(held)
}

// RecordLease records a write lease that lasts until the stated time. A lease of a
// term that was given up is not taken.
func (s *State) RecordLease(held *ctlock.Held, group ctid.Group, term ctposition.Term, until time.Time) {
	s.leases.With(held, func(rows map[ctid.Group]*lease) {
		row := leaseOf(rows, group)
		if term < row.term || term <= row.surrendered {
			return
		}
		if term > row.term || until.After(row.until) {
			row.term, row.until = term, until
		}
	})
}

// HasLease reports whether this process holds the write lease of the group's
// term at the time now.
func (s *State) HasLease(held *ctlock.Held, group ctid.Group, term ctposition.Term, now time.Time) bool {
	valid := false
	s.leases.With(held, func(rows map[ctid.Group]*lease) {
		row, ok := rows[group]
		valid = ok && row.term == term && now.Before(row.until)
	})
	return valid
}

// SurrenderLease gives up the leases of the group's term and of earlier ones for
// good.
func (s *State) SurrenderLease(held *ctlock.Held, group ctid.Group, term ctposition.Term) {
	s.leases.With(held, func(rows map[ctid.Group]*lease) {
		row := leaseOf(rows, group)
		row.surrendered = max(row.surrendered, term)
		if row.term <= row.surrendered {
			row.until = time.Time{}
		}
	})
}

// SurrenderedTerm returns the highest term whose lease was given up for good.
func (s *State) SurrenderedTerm(held *ctlock.Held, group ctid.Group) ctposition.Term {
	var term ctposition.Term
	s.leases.With(held, func(rows map[ctid.Group]*lease) {
		if row, ok := rows[group]; ok {
			term = row.surrendered
		}
	})
	return term
}

// RecordHint records what an answer told of a member.
func (s *State) RecordHint(held *ctlock.Held, member ctid.Member, hint ctroute.Hint) {
	s.hints.With(held, func(rows map[ctid.Member]*ctroute.Hint) { rows[member] = &hint })
}

// Hints returns a copy of the hints of a group's members.
func (s *State) Hints(held *ctlock.Held, members []ctid.Member) ctroute.HintMap {
	hints := make(ctroute.HintMap, len(members))
	s.hints.With(held, func(rows map[ctid.Member]*ctroute.Hint) {
		for _, m := range members {
			if row, ok := rows[m]; ok {
				hints[m] = *row
			}
		}
	})
	return hints
}

func leaseOf(rows map[ctid.Group]*lease, group ctid.Group) *lease {
	row, ok := rows[group]
	if !ok {
		row = &lease{}
		rows[group] = row
	}
	return row
}
