package ctcontrol

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Change takes an operator's change of the configuration.
func (c *Control) Change(held *ctlock.Held, change ctconfig.Change) (ctregister.Result, error) {
	if err := change.Check(); err != nil {
		return nil, err
	}
	var result ctregister.Result
	var err error
	c.ledger.With(held, func(l *ledger) {
		now := c.Clock.Now()
		command := ctregister.Configure{Change: change, At: now}
		if err = c.Journal.Append(command); err != nil {
			return
		}
		result = l.register.Apply(command)
		if configured, ok := result.(ctregister.Configured); ok {
			l.configure(now, configured.Accepted)
			c.logConfigured(configured.Accepted)
		}
	})
	return result, err
}

func (c *Control) logConfigured(accepted ctconfig.Accepted) {
	c.Logger.Info().Str("event", "decision").Str("decision", "configure").
		Stringer("revision", accepted.Revision).
		Str("change", string(accepted.Change.ID)).
		Str("author", accepted.Change.Author).
		Str("why", "first_on_its_base").
		Send()
}

// Status is what operators see of the fleet.
type Status struct {
	Revision ctid.Revision `json:"revision"`
	// Unconfirmed lists the proxies that do not have the revision in force.
	Unconfirmed []ctid.Proxy  `json:"unconfirmed"`
	View        *ctview.Delta `json:"view"`
	// Blocked tells for each group what stands in the way of a change that is
	// wanted.
	Blocked map[ctid.Group]string `json:"blocked,omitempty"`
}

// Status returns what the leader knows of the fleet.
func (c *Control) Status(held *ctlock.Held) Status {
	var status Status
	c.ledger.With(held, func(l *ledger) {
		status.Revision = l.register.Current().Revision
		status.Unconfirmed = l.roster.Unconfirmed(status.Revision)
		status.View = l.roster.Since(0)
		status.Blocked = make(map[ctid.Group]string)
		for name, why := range l.blocked {
			if why != "" {
				status.Blocked[name] = string(why)
			}
		}
	})
	return status
}

// History returns the accepted configurations, the newest last.
func (c *Control) History(held *ctlock.Held) []ctconfig.Accepted {
	var history []ctconfig.Accepted
	c.ledger.With(held, func(l *ledger) { history = append(history, l.register.History...) })
	return history
}

// Deeds returns the decisions on groups, the newest last.
func (c *Control) Deeds(held *ctlock.Held) []ctregister.Deed {
	var deeds []ctregister.Deed
	c.ledger.With(held, func(l *ledger) { deeds = append(deeds, l.register.Deeds...) })
	return deeds
}
