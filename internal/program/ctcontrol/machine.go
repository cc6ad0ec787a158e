package ctcontrol

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctroster"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctrecord"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// The exported methods below implement StateMachine.

// Apply applies a committed command to the register and, on the leader, to its knowledge
// of the fleet.
func (c *Control) Apply(index ctquorum.Index, data []byte) error {
	command, err := c.decodeCommand(data)
	if err != nil {
		return err
	}
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
		result := l.register.Apply(command)
		c.measureUnsettled(l, result)
		if len(l.waiters) > 0 {
			l.results[index] = result
		}
		if configured, ok := result.(ctregister.Configured); ok {
			l.recordConfig(c.Clock.Now(), configured.Accepted)
		}
		if l.leading {
			c.updateLeaderState(l, command, result)
		}
	})
	return nil
}

// decodeCommand decodes a command. For Publish it also decodes the configuration, which
// the log holds only in compressed form.
func (c *Control) decodeCommand(data []byte) (ctregister.Command, error) {
	command, err := ctrecord.DecodeCommand(data)
	if err != nil {
		return nil, err
	}
	publish, ok := command.(ctregister.Publish)
	if !ok {
		return command, nil
	}
	if publish.Document, err = c.DecodeConfig(publish.Source); err != nil {
		return nil, err
	}
	return publish, nil
}

// updateLeaderState applies the result of a command to the leader's knowledge of the
// fleet.
func (c *Control) updateLeaderState(l *leaderState, command ctregister.Command, result ctregister.Result) {
	switch r := result.(type) {
	case ctregister.Configured:
		l.applyConfig(c.Clock.Now(), r.Accepted)
		c.logConfigured(r.Accepted)
	case ctregister.GroupSet:
		set, ok := command.(ctregister.SetGroup)
		delete(l.proposedAt, r.Name)
		if !ok || !r.Applied {
			return
		}
		l.roster.SetGroup(l.register.Groups[r.Name])
		if machine, ok := l.successions[r.Name]; ok {
			machine.ApplyGroup(l.register.Groups[r.Name])
		}
		l.notifyWatchers()
		c.logGroup(set.Reason, l.register.Groups[r.Name])
	case ctregister.PromotionsSettled:
		delete(l.proposedAt, r.Name)
		group, declared := l.register.Groups[r.Name]
		settle, ok := command.(ctregister.SettlePromotions)
		if !ok || !declared {
			return
		}
		l.roster.SetGroup(group)
		l.notifyWatchers()
		c.logSettled(r, settle.Reason)
	case ctregister.MembersSet:
		l.indexSavedRuns()
		c.logLost(r.Lost)
	case ctregister.QuotaMarksSet:
		l.quotaLedger.SetMarks(l.register.QuotaMarks)
	case ctregister.RequesterReleased:
		release, ok := command.(ctregister.ReleaseRequester)
		if !ok || r.Requester.IsZero() {
			return
		}
		l.roster.SetGroup(l.register.Groups[r.Name])
		c.logReleased(r, release.Reason)
	}
}

// Snapshot returns the encoded register.
func (c *Control) Snapshot() ([]byte, error) {
	var held ctlock.Held
	var data []byte
	var err error
	c.state.With(&held, func(l *leaderState) { data, err = ctrecord.EncodeRegister(&l.register) })
	return data, err
}

// Restore replaces the register by that of a snapshot.
func (c *Control) Restore(data []byte) error {
	register, err := ctrecord.DecodeRegister(data)
	if err != nil {
		return err
	}
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
		l.register = *register
		c.Metrics.UnsettledPromotions.Reset()
		for name := range l.register.Groups {
			c.setUnsettled(l, name)
		}
	})
	return nil
}

// BecomeLeader starts the leader's work for an epoch.
func (c *Control) BecomeLeader(epoch ctquorum.Epoch) {
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
		l.startLeading(c.Clock.Now(), ctroster.Epoch(epoch), c.ReportTimeout)
		l.leader = ctquorum.Peer{Name: c.Name}
	})
	c.Logger.Info().Str("event", "decision").Str("decision", "lead_control").
		Uint64("epoch", uint64(epoch)).Str("why", "majority_voted").Send()
}

// BecomeFollower ends the leader's work. The leader is the zero value if none is known.
func (c *Control) BecomeFollower(leader ctquorum.Peer) {
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
		c.clearQuotaMetrics(l)
		l.leading = false
		l.authorityExpiresAt = time.Time{}
		l.leader = leader
		l.notifyWatchers()
	})
	c.Logger.Info().Str("event", "decision").Str("decision", "follow_control").
		Str("leader", string(leader.Name)).Str("why", "leader_heard_or_lost").Send()
}

// SetAuthority sets until when this process may act as the leader.
func (c *Control) SetAuthority(expiresAt time.Time) {
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) { l.authorityExpiresAt = expiresAt })
}

// CompleteProposal sends the result of a proposal to its waiter, if it has one. The
// waiter's channel is closed without a result if the command was not applied here.
func (c *Control) CompleteProposal(id ctquorum.ProposalID, index ctquorum.Index) {
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
		result, applied := l.results[index]
		delete(l.results, index)
		waiter, ok := l.waiters[id]
		if !ok {
			return
		}
		delete(l.waiters, id)
		if len(l.waiters) == 0 {
			clear(l.results)
		}
		if applied {
			waiter <- result
		}
		close(waiter)
	})
}

func (c *Control) logConfigured(accepted ctconfig.AcceptedChange) {
	c.Logger.Info().Str("event", "decision").Str("decision", "configure").
		Stringer("revision", accepted.Revision).
		Str("change", string(accepted.Change.ID)).
		Str("author", accepted.Change.Author).
		Str("why", "first_on_its_base").
		Send()
}

func (c *Control) logGroup(reason string, group ctview.Group) {
	event := c.Logger.Info().Str("event", "decision").Str("decision", "set_group").
		Str("group", string(group.Name)).
		Str("primary", string(group.Primary)).
		Uint64("term", uint64(group.Term)).
		Uint64("fence", uint64(group.Fence)).
		Str("why", reason)
	if !group.Requester.IsZero() {
		event.Str("requester", string(group.Requester.Control)).Uint64("requester_epoch", uint64(group.Requester.Epoch))
	}
	event.Send()
}
