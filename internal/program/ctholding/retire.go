package ctholding

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// retire closes a primary's queue while the group is handed over, and opens it
// again where that was taken back. It is called while the table of members is
// locked.
func (h *Holder) retire(row *member, view *ctview.View) {
	group := view.Groups[row.group]
	retires := group.PrimaryRetiring() && group.Primary == row.name
	if retires == !row.retireBy.IsZero() {
		return
	}
	if !retires {
		row.retireBy = time.Time{}
		h.put(row.name, queued{event: ctadmit.Resume{}})
		return
	}
	now := h.Clock.Now()
	settings := view.Config.Document.EffectiveSettings(row.group, now)
	row.retireBy = now.Add(settings.Failovers.HandoverTimeout.Or(ctconfig.DefaultHandoverTimeout))
	h.put(row.name, queued{event: ctadmit.Drain{}})
}

// endRetiring gives the lease up once the work in hand has ended, or has taken
// too long.
func (m *member) endRetiring(now time.Time, group ctview.Group, a *actions) {
	if m.retireBy.IsZero() || !group.PrimaryRetiring() || m.retired == group.Term {
		return
	}
	why := whyWorkEnded
	if m.queue.Connections() > 0 {
		if now.Before(m.retireBy) {
			return
		}
		why = whyHandoverTime
	}
	m.retired = group.Term
	a.surrender = surrender{term: group.Term, why: why}
	a.news = true
}
