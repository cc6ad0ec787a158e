package ctcontrol

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctfailover"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctroster"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// The times of a leader.
const (
	// tickInterval is how often the leader looks at what is due.
	tickInterval = 20 * time.Millisecond
	// settleTime is how long a new leader hears reports before it gives out a
	// view, so that its first view is not half empty.
	settleTime = 1200 * time.Millisecond
	// memberTime is how long a member may go unannounced before it is dropped.
	memberTime = 5 * time.Second
)

// Options are the parts and settings of a Control.
type Options struct {
	Name    ctid.Control
	Journal Journal
	Clock   ctclock.Clock
	Logger  zerolog.Logger
	// SilenceTime is how long a proxy or a member may go unheard of before it
	// counts as gone.
	SilenceTime time.Duration
}

// Control is a control process.
type Control struct {
	Options

	ledger cttable.Cell[ledger]
}

// New returns a control process that has read its journal.
func New(options Options) (*Control, error) {
	c := &Control{Options: options, ledger: cttable.Cell[ledger]{Rank: ctlock.RankLedger}}
	var held ctlock.Held
	var err error
	c.ledger.With(&held, func(l *ledger) {
		err = options.Journal.Replay(func(command ctregister.Command) { l.register.Apply(command) })
		l.lead(options.Clock.Now(), ctroster.Epoch(options.Clock.Now().Unix()), options.SilenceTime)
	})
	return c, err
}

// Run looks at what is due until ctx ends.
func (c *Control) Run(ctx context.Context) {
	var held ctlock.Held
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(tickInterval):
		}
		c.ledger.With(&held, func(l *ledger) { c.tick(c.Clock.Now(), l) })
	}
}

// Report takes a proxy's report and returns the reply.
func (c *Control) Report(held *ctlock.Held, report *ctview.Report) *ctview.Reply {
	reply := &ctview.Reply{Number: report.Number}
	c.ledger.With(held, func(l *ledger) {
		now := c.Clock.Now()
		changed := l.roster.Hear(now, report)
		for _, h := range report.Held {
			c.hear(now, l, h, reply)
		}
		if changed {
			l.notify()
		}
		reply.Delta = l.delta(now, report.Version)
	})
	return reply
}

// hear takes a holder's account of a member and grants the lease that it asks
// for.
func (c *Control) hear(now time.Time, l *ledger, h ctview.Held, reply *ctview.Reply) {
	machine, ok := l.machines[h.Group]
	if !ok {
		return
	}
	machine.Report(now, h)
	c.decide(now, l, h.Group)
	group := l.register.Groups[h.Group]
	if machine.Lease(now, group, h) {
		reply.Leases = append(reply.Leases, ctview.Lease{
			Group: h.Group,
			Term:  group.Term,
			Time:  ctconfig.Duration(machine.LeaseTime),
		})
	}
}

// Watch waits for a view newer than the version and returns the delta to it, or
// nil when ctx ends.
func (c *Control) Watch(ctx context.Context, held *ctlock.Held, version ctview.Version) *ctview.Delta {
	for {
		var delta *ctview.Delta
		wake := make(chan struct{})
		c.ledger.With(held, func(l *ledger) {
			if delta = l.delta(c.Clock.Now(), version); delta == nil {
				l.watchers = append(l.watchers, wake)
			}
		})
		if delta != nil {
			return delta
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// tick drops what was not heard of and lets the groups decide.
func (c *Control) tick(now time.Time, l *ledger) {
	if now.Sub(l.began) < settleTime {
		return
	}
	before := l.roster.Version()
	for _, name := range l.roster.Expire(now.Add(-c.SilenceTime), now.Add(-memberTime)) {
		c.Logger.Info().Str("event", "decision").Str("decision", "drop_proxy").
			Str("proxy", string(name)).Str("why", "silent").Send()
	}
	for name := range l.machines {
		c.decide(now, l, name)
	}
	if l.roster.Version() != before || !l.settled {
		l.settled = true
		l.notify()
	}
}

// decide makes the group's next decision durable, if one is due.
func (c *Control) decide(now time.Time, l *ledger, name ctid.Group) {
	group := l.register.Groups[name]
	group.Name = name
	machine := l.machines[name]
	proposal, due := machine.Decide(now, group).Get()
	if !due {
		c.logBlocked(l, name, machine.Blocked(now, group))
		return
	}
	command := ctregister.SetGroup{
		Group: proposal.Group,
		Term:  group.Term,
		Fence: group.Fence,
		Why:   string(proposal.Why),
		At:    now,
	}
	if err := c.Journal.Append(command); err != nil {
		c.Logger.Error().Str("event", "journal_failed").Str("error", err.Error()).Send()
		return
	}
	l.register.Apply(command)
	l.roster.SetGroup(proposal.Group)
	l.notify()
	c.logGroup(proposal)
}

func (c *Control) logGroup(proposal ctfailover.Proposal) {
	c.Logger.Info().Str("event", "decision").Str("decision", "set_group").
		Str("group", string(proposal.Group.Name)).
		Str("primary", string(proposal.Group.Primary)).
		Uint64("term", uint64(proposal.Group.Term)).
		Uint64("fence", uint64(proposal.Group.Fence)).
		Str("why", string(proposal.Why)).
		Send()
}

// logBlocked tells once what stands in the way of a change.
func (c *Control) logBlocked(l *ledger, name ctid.Group, why ctfailover.Why) {
	if l.blocked[name] == why {
		return
	}
	l.blocked[name] = why
	if why == ctfailover.BlockedNone {
		return
	}
	c.Logger.Info().Str("event", "decision").Str("decision", "wait").
		Str("group", string(name)).Str("why", string(why)).Send()
}
