package ctuplink

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// applyDelta applies a delta to the view and notifies the subscribers if that changed
// it. It does nothing if delta is nil.
func (u *Uplink) applyDelta(held *ctlock.Held, delta *ctview.Delta) error {
	if delta == nil {
		return nil
	}
	var err error
	u.applying.With(held, func(*struct{}) { err = u.applyDeltaLocked(held, delta) })
	return err
}

// applyGroups applies the newest state of groups, which arrived ahead of the view's next
// version.
func (u *Uplink) applyGroups(held *ctlock.Held, groups []ctview.Group) {
	if len(groups) == 0 {
		return
	}
	u.applying.With(held, func(*struct{}) {
		before, after := u.State.ApplyGroups(held, groups)
		u.notifySubscribers(held, before, after)
	})
}

// applyDeltaLocked is applyDelta while applying is locked.
func (u *Uplink) applyDeltaLocked(held *ctlock.Held, delta *ctview.Delta) error {
	before, after, err := u.State.ApplyDelta(held, delta)
	if err != nil || before == after {
		return err
	}
	u.Metrics.ViewVersion.Set(float64(after.Version))
	u.Metrics.Revision.Set(float64(after.Config.Revision))
	if after.Config.Revision != before.Config.Revision {
		u.State.SetConfigOutdated(held, false)
		u.Logger.Info().Str("event", "decision").Str("decision", "config_in_force").
			Stringer("revision", after.Config.Revision).Str("why", "higher_revision").Send()
		u.TriggerReport()
	}
	u.disconnectRemoved(before, after)
	u.notifySubscribers(held, before, after)
	return nil
}

// notifySubscribers passes a newer view to all subscribers. It does nothing if the view
// is the same as before.
func (u *Uplink) notifySubscribers(held *ctlock.Held, before, after *ctview.View) {
	if before == after {
		return
	}
	for _, s := range u.Subscribers {
		s.ApplyView(held, after)
	}
}

// disconnectRemoved closes the connections to proxies that are no longer in the view or
// that were restarted.
func (u *Uplink) disconnectRemoved(before, after *ctview.View) {
	for name, p := range before.Proxies {
		if name == u.Self.Name || after.Proxies[name].Incarnation == p.Incarnation {
			continue
		}
		u.Transport.Disconnect(p.Address)
	}
}
