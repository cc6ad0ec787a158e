package ctholding

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// updateHandover drains a primary's queue when a planned handover of the group
// begins, and resumes it if the handover is cancelled. The caller has locked the
// table of members.
func (h *Holder) updateHandover(m *member, view *ctview.View) {
	group := view.Groups[m.group]
	retiring := group.PrimaryRetiring() && group.Primary == m.name
	if retiring == !m.handoverDeadline.IsZero() {
		return
	}
	if !retiring {
		m.handoverDeadline = time.Time{}
		h.enqueue(m.name, queueEvent{event: ctadmit.Resume{}})
		return
	}
	now := h.Clock.Now()
	settings := view.Config.Document.EffectiveSettings(m.group, now)
	m.handoverDeadline = now.Add(settings.Failovers.HandoverTimeout.Or(ctconfig.DefaultHandoverTimeout))
	h.enqueue(m.name, queueEvent{event: ctadmit.Drain{}})
}

// completeHandover surrenders the lease of a primary in a planned handover, once
// its connections are closed or handoverDeadline has passed.
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
