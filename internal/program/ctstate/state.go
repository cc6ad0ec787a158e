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
	// configOutdated reports that control has a newer configuration, which should be in
	// force here by now.
	configOutdated cttable.Cell[bool]
}

// lease is a write lease that this process was granted.
type lease struct {
	term      ctposition.Term
	expiresAt time.Time
	// surrendered is the highest term of which the lease was given up for good.
	surrendered ctposition.Term
}

// New returns a state that knows nothing.
func New() *State {
	s := &State{
		view:   cttable.Cell[*ctview.View]{Rank: ctlock.RankView},
		leases: cttable.Table[ctid.Group, lease]{Rank: ctlock.RankLeases},
		hints:  cttable.Table[ctid.Member, ctroute.Hint]{Rank: ctlock.RankHints},

		authority:      cttable.Cell[time.Time]{Rank: ctlock.RankAuthority},
		configOutdated: cttable.Cell[bool]{Rank: ctlock.RankAuthority},
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
func (s *State) ExtendAuthority(held *ctlock.Held, expiresAt time.Time) {
	s.authority.With(held, func(value *time.Time) {
		if expiresAt.After(*value) {
			*value = expiresAt
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
	s.configOutdated.With(held, func(value *bool) { *value = outdated })
}

// ConfigOutdated reports whether it does.
func (s *State) ConfigOutdated(held *ctlock.Held) bool {
	return s.configOutdated.Get(held)
}

// RecordLease records a write lease that lasts until the stated time. A lease of a
// term that was given up is not taken.
func (s *State) RecordLease(held *ctlock.Held, group ctid.Group, term ctposition.Term, expiresAt time.Time) {
	s.leases.With(held, func(leases map[ctid.Group]*lease) {
		l := leaseOf(leases, group)
		if term < l.term || term <= l.surrendered {
			return
		}
		if term > l.term || expiresAt.After(l.expiresAt) {
			l.term, l.expiresAt = term, expiresAt
		}
	})
}

// HasLease reports whether this process holds the write lease of the group's
// term at the time now.
func (s *State) HasLease(held *ctlock.Held, group ctid.Group, term ctposition.Term, now time.Time) bool {
	valid := false
	s.leases.With(held, func(leases map[ctid.Group]*lease) {
		l, ok := leases[group]
		valid = ok && l.term == term && now.Before(l.expiresAt)
	})
	return valid
}

// SurrenderLease gives up the leases of the group's term and of earlier ones for
// good.
func (s *State) SurrenderLease(held *ctlock.Held, group ctid.Group, term ctposition.Term) {
	s.leases.With(held, func(leases map[ctid.Group]*lease) {
		l := leaseOf(leases, group)
		l.surrendered = max(l.surrendered, term)
		if l.term <= l.surrendered {
			l.expiresAt = time.Time{}
		}
	})
}

// SurrenderedTerm returns the highest term whose lease was given up for good.
func (s *State) SurrenderedTerm(held *ctlock.Held, group ctid.Group) ctposition.Term {
	var term ctposition.Term
	s.leases.With(held, func(leases map[ctid.Group]*lease) {
		if l, ok := leases[group]; ok {
			term = l.surrendered
		}
	})
	return term
}

// RecordHint records what an answer told of a member.
func (s *State) RecordHint(held *ctlock.Held, member ctid.Member, hint ctroute.Hint) {
	s.hints.With(held, func(hints map[ctid.Member]*ctroute.Hint) { hints[member] = &hint })
}

// Hints returns a copy of the hints of a group's members.
func (s *State) Hints(held *ctlock.Held, members []ctid.Member) ctroute.HintMap {
	found := make(ctroute.HintMap, len(members))
	s.hints.With(held, func(hints map[ctid.Member]*ctroute.Hint) {
		for _, m := range members {
			if hint, ok := hints[m]; ok {
				found[m] = *hint
			}
		}
	})
	return found
}

func leaseOf(leases map[ctid.Group]*lease, group ctid.Group) *lease {
	l, ok := leases[group]
	if !ok {
		l = &lease{}
		leases[group] = l
	}
	return l
}
