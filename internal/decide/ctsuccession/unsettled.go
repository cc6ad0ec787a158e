package ctsuccession

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// RequestLifetime is how long a promotion request may take to have an effect if the process
// that sent it can't report the answer.
const RequestLifetime = 60 * time.Second

// goneTimeout is how long a member must not be heard after its deregistration before its
// promotions are settled. The deregistration may be a late one of an earlier run.
const goneTimeout = 3 * time.Second

// goneFor reports whether a member has been gone for a time.
func (m *Machine) goneFor(now time.Time, name ctid.Member, duration time.Duration) bool {
	at, gone := m.gone[name]
	return gone && now.Sub(at) >= duration
}

// ownPromotion returns the newest promotion of a member that this leader made durable.
func (m *Machine) ownPromotion(group ctview.Group, name ctid.Member) (promotion ctview.Promotion, recorded bool) {
	for _, p := range group.Unsettled {
		if p.Member == name && p.Epoch == m.Epoch && p.Number >= promotion.Number {
			promotion, recorded = p, true
		}
	}
	return promotion, recorded
}

// withPromotion returns the group with a candidate and a new promotion of it.
func (m *Machine) withPromotion(group ctview.Group, candidate ctid.Member) ctview.Group {
	m.LastNumber++
	promotion := ctview.Promotion{Member: candidate, Epoch: m.Epoch, Number: m.LastNumber}
	group.Candidate = candidate
	group.Unsettled = ctview.MergePromotions(group.Unsettled, []ctview.Promotion{promotion})
	return group
}

// unsettledRank returns 1 for a member that the service may still promote, and 0 otherwise.
func unsettledRank(group ctview.Group, name ctid.Member) int {
	for _, p := range group.Unsettled {
		if p.Member == name {
			return 1
		}
	}
	return 0
}

// settlePromotions settles the unsettled promotions that can't take effect any more: those
// of members that are gone for good, and those of earlier leaders that have had
// RequestLifetime without a report. Those of this epoch are settled by their answers.
func (m *Machine) settlePromotions(now time.Time, group ctview.Group) []Action {
	var gone, expired []ctview.Promotion
	for _, p := range group.Unsettled {
		switch {
		case p.Member != group.Candidate && m.goneFor(now, p.Member, goneTimeout):
			gone = append(gone, p)
		case p.Epoch != m.Epoch && now.Sub(m.startedAt) >= RequestLifetime:
			expired = append(expired, p)
		}
	}
	var actions []Action
	if len(gone) > 0 {
		actions = append(actions, SettlePromotions{Promotions: gone, Reason: ReasonMemberGone})
	}
	if len(expired) > 0 {
		actions = append(actions, SettlePromotions{Promotions: expired, Reason: ReasonExpired})
	}
	return actions
}
