package ctsuccession

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
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

// withPromotion returns the group with a candidate, a new promotion of it and a requester.
func (m *Machine) withPromotion(group ctview.Group, candidate ctid.Member) ctview.Group {
	m.LastNumber++
	promotion := ctview.Promotion{Member: candidate, Epoch: m.Epoch, Number: m.LastNumber}
	group.Candidate = candidate
	group.Unsettled = ctview.MergePromotions(group.Unsettled, []ctview.Promotion{promotion})
	return m.withRequester(group)
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

// RecordEnded records that no request for promotions can take effect any more. One may have
// taken effect without a sign of it.
func (m *Machine) RecordEnded(now time.Time, promotions []ctview.Promotion) {
	for _, p := range promotions {
		if _, known := m.ended[p]; !known {
			m.ended[p] = now
		}
	}
}

// PromotedAt returns when this leader saw the only unsettled promotion of a member take
// effect. It returns the zero time if the member doesn't lead, or if a change is in progress.
func (m *Machine) PromotedAt(group ctview.Group, name ctid.Member) time.Time {
	count := 0
	for _, p := range group.Unsettled {
		if p.Member == name {
			count++
		}
	}
	if count != 1 || group.Primary != name || group.ChangingPrimary() {
		return time.Time{}
	}
	return m.lastChangeAt
}

// settlePromotions settles the promotions that neither can take effect any more nor have
// taken effect unseen. Those of earlier leaders have ended RequestLifetime after this one
// started, if nobody reports it before.
func (m *Machine) settlePromotions(now time.Time, group ctview.Group) []Action {
	byReason := make(map[Reason][]ctview.Promotion)
	for _, p := range group.Unsettled {
		endedAt, answered := m.ended[p]
		expiresAt := m.startedAt.Add(RequestLifetime)
		switch {
		case p.Member != group.Candidate && m.goneFor(now, p.Member, goneTimeout):
			byReason[ReasonMemberGone] = append(byReason[ReasonMemberGone], p)
		case answered && m.withoutEffect(group, p.Member, endedAt):
			byReason[ReasonAnswered] = append(byReason[ReasonAnswered], p)
		case p.Epoch != m.Epoch && !now.Before(expiresAt) && m.withoutEffect(group, p.Member, expiresAt):
			byReason[ReasonExpired] = append(byReason[ReasonExpired], p)
		}
	}
	var actions []Action
	for _, reason := range []Reason{ReasonMemberGone, ReasonAnswered, ReasonExpired} {
		if len(byReason[reason]) > 0 {
			actions = append(actions, SettlePromotions{Promotions: byReason[reason], Reason: reason})
		}
	}
	return actions
}

// withoutEffect reports whether a member's status that was requested after a time shows no
// promotion that control doesn't know of.
func (m *Machine) withoutEffect(group ctview.Group, name ctid.Member, after time.Time) bool {
	member, ok := m.members[name]
	if !ok || member.failures > 0 || member.statusSentAt.Before(after) {
		return false
	}
	if member.status.Role == ctserver.RolePrimary {
		return name == group.Primary && member.status.Term == group.Term
	}
	return member.status.Term <= group.Term
}
