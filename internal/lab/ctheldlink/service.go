package ctheldlink

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctholderjudge"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// promotionDelay is the time from a promotion request to its effect.
const promotionDelay = 300 * time.Millisecond

// promotion is a promotion request with the term that it starts.
type promotion struct {
	member    ctid.Member
	requester string
	epoch     ctquorum.Epoch
	calledAt  time.Time
	term      ctposition.Term
}

// Promote handles a promotion request. It does not compare epochs.
func (g *Group) Promote(
	group ctid.Group, name ctid.Member, requester string, epoch ctquorum.Epoch,
) ctsuccession.PromotionOutcome {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m := g.Member(name)
	g.logger.Info().Str("event", "promotion_called").Str("member", string(name)).Str("requester", requester).
		Uint64("epoch", uint64(epoch)).Send()
	g.judge.recordRequest(ctholderjudge.Request{
		Group: group, Member: name, Holder: requester, Epoch: epoch, At: time.Now(),
	})
	if group != groupName || m == nil || !m.running {
		return ctsuccession.PromotionRejected
	}
	p := promotion{member: name, requester: requester, epoch: epoch, calledAt: time.Now()}
	if m != g.latest || !m.primary {
		time.AfterFunc(promotionDelay, func() { g.completePromotion(m, p) })
	}
	return ctsuccession.PromotionAccepted
}

// completePromotion makes a member the primary of the next term, with the log that it has.
func (g *Group) completePromotion(m *Member, p promotion) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !m.running || (m == g.latest && m.primary) {
		return
	}
	g.term++
	g.latest = m
	m.primary, m.term, m.pausedBelow, p.term = true, g.term, 0, g.term
	m.applied = len(m.log)
	g.promoted = append(g.promoted, p)
	var others [][]entry
	for _, o := range g.Members {
		if o != m {
			others = append(others, o.log)
		}
	}
	g.judge.recordPromotion(p, m.log, others)
	g.notifyChange()
}
