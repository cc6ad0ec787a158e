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

// State is what a proxy process knows of the fleet. Its methods may be called
// concurrently; held records the locks of the calling goroutine.
type State struct {
	// view is never nil. A view is not changed after it was stored here.
	view   cttable.Cell[*ctview.View]
	leases cttable.Table[ctid.Group, lease]
	hints  cttable.Table[ctid.Member, ctroute.MemberHint]
	// authority is until when this process may act on the groups of its view: the
	// expiry of a lease on the view that control extends with its replies.
	authority cttable.Cell[time.Time]
	// configOutdated reports whether control has a newer configuration that should be
	// in force here by now.
	configOutdated cttable.Cell[bool]
}

// lease is the write lease of a group that control granted to this process.
type lease struct {
	term ctposition.Term
	// expiresAt is zero after the lease was surrendered.
	expiresAt time.Time
	// surrendered is the highest term whose lease was surrendered for good.
	surrendered ctposition.Term
}

// New returns a state with an empty view, no authority and no leases.
func New() *State {
	s := &State{
		view:   cttable.Cell[*ctview.View]{Rank: ctlock.RankView},
		leases: cttable.Table[ctid.Group, lease]{Rank: ctlock.RankLeases},
		hints:  cttable.Table[ctid.Member, ctroute.MemberHint]{Rank: ctlock.RankHints},

		authority:      cttable.Cell[time.Time]{Rank: ctlock.RankAuthority},
		configOutdated: cttable.Cell[bool]{Rank: ctlock.RankAuthority},
	}
	var held ctlock.Held
	s.view.With(&held, func(value **ctview.View) { *value = &ctview.View{} })
	return s
}

// View returns the current view. It is never nil and must not be changed.
func (s *State) View(held *ctlock.Held) *ctview.View {
	return s.view.Get(held)
}

// ApplyDelta applies a delta to the view and returns the views before and after. They
// are the same on an error and if the delta is not newer than the view.
func (s *State) ApplyDelta(held *ctlock.Held, delta *ctview.Delta) (before, after *ctview.View, err error) {
	s.view.With(held, func(value **ctview.View) {
		before = *value
		after, err = before.Apply(delta)
		*value = after
	})
	return before, after, err
}

// ApplyGroups replaces groups of the view by those in a reply of control. It returns the
// view before and the new view, which has the same version.
func (s *State) ApplyGroups(held *ctlock.Held, groups []ctview.Group) (before, after *ctview.View) {
	s.view.With(held, func(value **ctview.View) {
		before = *value
		after = before.WithGroups(groups)
		*value = after
	})
	return before, after
}

// ExtendAuthority extends the authority to expiresAt. It never shortens it.
func (s *State) ExtendAuthority(held *ctlock.Held, expiresAt time.Time) {
	s.authority.With(held, func(value *time.Time) {
		if expiresAt.After(*value) {
			*value = expiresAt
		}
	})
}

// AuthorityExpiry returns until when this process may act on the groups of its view. It
// is the zero time if control has not granted authority since the start.
func (s *State) AuthorityExpiry(held *ctlock.Held) time.Time {
	return s.authority.Get(held)
}

// SetConfigOutdated records whether control has a newer configuration that should be in
// force here by now.
func (s *State) SetConfigOutdated(held *ctlock.Held, outdated bool) {
	s.configOutdated.With(held, func(value *bool) { *value = outdated })
}

// ConfigOutdated reports whether control has a newer configuration that should be in
// force here by now.
func (s *State) ConfigOutdated(held *ctlock.Held) bool {
	return s.configOutdated.Get(held)
}

// RecordLease records a write lease that is valid until expiresAt. It ignores a lease
// of a term that was surrendered or that is lower than the recorded one.
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

// SurrenderLease surrenders the group's leases of a term and of all earlier terms for
// good: HasLease returns false for them even if control grants them again.
func (s *State) SurrenderLease(held *ctlock.Held, group ctid.Group, term ctposition.Term) {
	s.leases.With(held, func(leases map[ctid.Group]*lease) {
		l := leaseOf(leases, group)
		l.surrendered = max(l.surrendered, term)
		if l.term <= l.surrendered {
			l.expiresAt = time.Time{}
		}
	})
}

// SurrenderedTerm returns the highest term whose lease was surrendered; 0 if there is
// none.
func (s *State) SurrenderedTerm(held *ctlock.Held, group ctid.Group) ctposition.Term {
	var term ctposition.Term
	s.leases.With(held, func(leases map[ctid.Group]*lease) {
		if l, ok := leases[group]; ok {
			term = l.surrendered
		}
	})
	return term
}

// RecordHint replaces the routing hint of a member by that from a newer answer.
func (s *State) RecordHint(held *ctlock.Held, member ctid.Member, hint ctroute.MemberHint) {
	s.hints.With(held, func(hints map[ctid.Member]*ctroute.MemberHint) { hints[member] = &hint })
}

// Hints returns a copy of the hints of the given members. Members without a hint are
// missing in it.
func (s *State) Hints(held *ctlock.Held, members []ctid.Member) ctroute.HintMap {
	found := make(ctroute.HintMap, len(members))
	s.hints.With(held, func(hints map[ctid.Member]*ctroute.MemberHint) {
		for _, m := range members {
			if hint, ok := hints[m]; ok {
				found[m] = *hint
			}
		}
	})
	return found
}

// leaseOf returns the lease of a group and adds it to the table if it is missing. The
// table must be locked.
func leaseOf(leases map[ctid.Group]*lease, group ctid.Group) *lease {
	l, ok := leases[group]
	if !ok {
		l = &lease{}
		leases[group] = l
	}
	return l
}
