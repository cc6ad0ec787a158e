package ctcontrol

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// ChangeConfig proposes an operator's change of the configuration. It returns once the
// change is durable on a majority of control's disks, or is refused. If ctx ends first,
// it returns an error and the change may still be accepted.
func (c *Control) ChangeConfig(
	ctx context.Context, held *ctlock.Held, change ctconfig.Change,
) (ctregister.Result, error) {
	if err := change.Check(); err != nil {
		return nil, err
	}
	outcome := make(chan ctregister.Result, 1)
	var err error
	c.state.With(held, func(l *leaderState) {
		if !l.leading {
			err = notLeaderError(l)
			return
		}
		c.propose(l, ctregister.Configure{Change: change, At: c.Clock.Now()}, outcome)
	})
	if err != nil {
		return nil, err
	}
	select {
	case result, ok := <-outcome:
		if ok {
			return result, nil
		}
	case <-ctx.Done():
	}
	return nil, cterror.New(cterror.Unavailable, "whether the change was accepted is not known",
		"apply it again with the same id")
}

// notLeaderError returns the error for a caller that needs the leader. It names the
// leader if one is known.
func notLeaderError(l *leaderState) error {
	switch l.leader.Name {
	case "":
		return cterror.New(cterror.Unavailable, "no control process leads now", "try again in a second")
	case l.self:
		return cterror.New(
			cterror.Unavailable, "this control process leads, but has no authority now", "try again in a second")
	}
	return cterror.Newf(cterror.Unavailable, "name its HTTP address with --control-http",
		"this control process does not lead; %s does", l.leader.Name)
}

// ConfigHistory returns the accepted configurations, the newest last. It fails without
// authority, because a newer configuration may then be in force.
func (c *Control) ConfigHistory(held *ctlock.Held) ([]ctconfig.AcceptedChange, error) {
	var history []ctconfig.AcceptedChange
	err := c.withAuthority(held, func(_ time.Time, l *leaderState) {
		history = append(history, l.register.ConfigHistory...)
	})
	return history, err
}

// AuditLog returns the recorded decisions on groups, the newest last. It fails without
// authority, because later decisions may then have been made.
func (c *Control) AuditLog(held *ctlock.Held) ([]ctregister.AuditEntry, error) {
	var entries []ctregister.AuditEntry
	err := c.withAuthority(held, func(_ time.Time, l *leaderState) {
		entries = append(entries, l.register.AuditLog...)
	})
	return entries, err
}
