package ctholding

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// updateHandover closes a primary's queue while the group is handed over, and opens it
// again where that was taken back. It is called while the table of members is
// locked.
func (h *Holder) updateHandover(m *member, view *ctview.View) {
	group := view.Groups[m.group]
	retires := group.PrimaryRetiring() && group.Primary == m.name
	if retires == !m.handoverDeadline.IsZero() {
		return
	}
	if !retires {
		m.handoverDeadline = time.Time{}
		h.enqueue(m.name, queueEvent{event: ctadmit.Resume{}})
		return
	}
	now := h.Clock.Now()
	settings := view.Config.Document.EffectiveSettings(m.group, now)
	m.handoverDeadline = now.Add(settings.Failovers.HandoverTimeout.Or(ctconfig.DefaultHandoverTimeout))
	h.enqueue(m.name, queueEvent{event: ctadmit.Drain{}})
}

// completeHandover gives the lease up once the work in hand has ended, or has taken
// too long.
func (m *member) completeHandover(now time.Time, group ctview.Group, a *actions) {
	if m.handoverDeadline.IsZero() || !group.PrimaryRetiring() || m.surrenderedTerm == group.Term {
		return
	}
	reason := reasonWorkCompleted
	if m.queue.Connections() > 0 {
		if now.Before(m.handoverDeadline) {
			return
		}
		reason = reasonHandoverTimeout
	}
	m.surrenderedTerm = group.Term
	a.surrender = surrender{term: group.Term, reason: reason}
	a.urgent = true
}
