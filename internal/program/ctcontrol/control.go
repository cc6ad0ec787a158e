package ctcontrol

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctfailover"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctrecord"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
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
	// cutOffTime is the same where proxies reach members by themselves.
	cutOffTime = 15 * time.Second
	// proposalTime is how long a decision on a group may take to be committed
	// before it is proposed again.
	proposalTime = time.Second
)

// controlsEvery is one in how many reports is answered with who votes in control.
const controlsEvery = 8

// Proposer appends commands to the replicated log.
type Proposer interface {
	Propose(ticket ctquorum.ProposalID, data []byte)
}

// Options are the parts and settings of a Control.
type Options struct {
	Name   ctid.Control
	Peers  []PeerAddress
	Clock  ctclock.Clock
	Logger zerolog.Logger
	// ReportTimeout is how long a proxy or a member may go unheard of before it
	// counts as gone.
	ReportTimeout time.Duration
	// Members and Promoter serve the groups whose primaries are promoted by an
	// external service; nil where there are none.
	Members  MemberClient
	Promoter Promoter
	// ApplyTimeout is how long after its acceptance a configuration must be in force
	// everywhere; 0 where proxies may be late.
	ApplyTimeout time.Duration
	// DecodeConfig decodes a configuration as operators write it, in compressed form; nil
	// where operators do not number configurations.
	DecodeConfig func(source []byte) (ctconfig.Document, error)
	// Voters lists the control processes that vote; nil where proxies know them
	// from their settings.
	Voters func(held *ctlock.Held) []ctid.Control
}

// Control is a control process: the state that the replicated log makes and,
// while the process leads, the decisions on the fleet.
type Control struct {
	Options

	proposer Proposer
	ledger   cttable.Cell[ledger]
	jobs     ctpool.Pool[job]
}

// New returns a control process that leads nothing yet.
func New(options Options) *Control {
	c := &Control{Options: options, ledger: cttable.Cell[ledger]{Rank: ctlock.RankLeader}}
	var held ctlock.Held
	c.ledger.With(&held, func(l *ledger) {
		l.results = make(map[ctquorum.Index]ctregister.Result)
		l.waiters = make(map[ctquorum.ProposalID]chan<- ctregister.Result)
	})
	return c
}

// SetProposer sets where commands are proposed. It is called before Run.
func (c *Control) SetProposer(proposer Proposer) {
	c.proposer = proposer
}

// Run looks at what is due until ctx ends.
func (c *Control) Run(ctx context.Context) {
	var held ctlock.Held
	c.jobs = ctpool.Pool[job]{Workers: jobWorkers, Handle: c.do}
	c.jobs.Start()
	defer c.jobs.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(tickInterval):
		}
		c.ledger.With(&held, func(l *ledger) {
			if l.leading {
				c.tick(c.Clock.Now(), l)
			}
		})
	}
}

// HandleReport takes a proxy's report and returns the reply.
func (c *Control) HandleReport(held *ctlock.Held, report *ctview.Report) *ctview.Reply {
	reply := &ctview.Reply{Number: report.Number}
	if c.Voters != nil && report.Number%controlsEvery == 1 {
		reply.Controls = c.Voters(held)
	}
	c.ledger.With(held, func(l *ledger) {
		now := c.Clock.Now()
		if !l.inOffice(now) {
			c.refuse(l, reply)
			return
		}
		changed := l.roster.ApplyReport(now, report)
		for _, h := range report.HeldMembers {
			c.hear(now, l, h, reply)
		}
		if changed {
			l.notifySoon(now)
		}
		reply.Delta = l.delta(now, report.Version, report.Revision)
		c.authorize(now, l, report, reply)
	})
	return reply
}

// refuse tells a proxy who leads.
func (c *Control) refuse(l *ledger, reply *ctview.Reply) {
	reply.NotLeader = true
	for _, contact := range c.Peers {
		if contact.Name == l.leader.Name {
			reply.LeaderAddress = &contact.Address
		}
	}
}

// hear takes a holder's account of a member and grants the lease that it asks
// for, if this process has authority.
func (c *Control) hear(now time.Time, l *ledger, h ctview.MemberReport, reply *ctview.Reply) {
	machine, ok := l.machines[h.Group]
	if !ok {
		return
	}
	machine.ApplyReport(now, h)
	c.decide(now, l, h.Group)
	group := l.register.Groups[h.Group]
	if now.Before(l.authority) && !l.moving(h.Group) && machine.GrantLease(now, group, h) {
		reply.Leases = append(reply.Leases, ctview.Lease{
			Group: h.Group,
			Term:  group.Term,
			TTL:   ctconfig.Duration(machine.LeaseTTL),
		})
	}
}

// Watch waits for a view newer than the version, of a proxy that has a revision
// of the configuration, and returns the delta to it, or
// none when ctx ends.
func (c *Control) Watch(
	ctx context.Context, held *ctlock.Held, version ctview.Version, revision ctid.Revision,
) *ctview.Reply {
	for {
		reply := &ctview.Reply{}
		wake := make(chan struct{})
		c.ledger.With(held, func(l *ledger) {
			if !l.inOffice(c.Clock.Now()) {
				c.refuse(l, reply)
				return
			}
			if reply.Delta = l.delta(c.Clock.Now(), version, revision); reply.Delta == nil {
				l.watchers = append(l.watchers, wake)
			}
		})
		if reply.Delta != nil || reply.NotLeader {
			return reply
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return reply
		}
	}
}

// tick drops what was not heard of and lets the groups decide.
func (c *Control) tick(now time.Time, l *ledger) {
	if now.Sub(l.began) < settleTime {
		return
	}
	before := l.roster.Version()
	for _, name := range l.roster.Expire(now.Add(-c.ReportTimeout), now.Add(-l.memberTime())) {
		c.Logger.Info().Str("event", "decision").Str("decision", "drop_proxy").
			Str("proxy", string(name)).Str("why", "silent").Send()
	}
	for name := range l.machines {
		c.decide(now, l, name)
	}
	l.proxies.Tick(now)
	c.advanceAll(now, l)
	if members, due := l.forgotten(now); due && l.authorized(now) {
		c.propose(l, ctregister.SetMembers{Members: members}, nil)
	}
	if l.roster.Version() != before || !l.settled || l.news {
		l.settled = true
		l.notifySoon(now)
	}
}

// decide proposes the group's next decision, if one is due.
func (c *Control) decide(now time.Time, l *ledger, name ctid.Group) {
	if at, ok := l.proposed[name]; ok && now.Sub(at) < proposalTime {
		return
	}
	group := l.register.Groups[name]
	group.Name = name
	decided, blocked := l.machines[name].Decide(now, group)
	proposal, due := decided.Get()
	if !due {
		c.logBlocked(l, name, blocked)
		return
	}
	l.proposed[name] = now
	c.propose(l, ctregister.SetGroup{
		Group:     proposal.Group,
		BaseTerm:  group.Term,
		BaseFence: group.Fence,
		Reason:    string(proposal.Reason),
		At:        now,
	}, nil)
}

// propose hands a command to the replicated log. The result is told to the
// waiter, where there is one.
func (c *Control) propose(l *ledger, command ctregister.Command, waiter chan<- ctregister.Result) {
	data, err := ctrecord.EncodeCommand(command)
	if err != nil {
		c.Logger.Error().Str("event", "proposal_failed").Str("error", err.Error()).Send()
		if waiter != nil {
			close(waiter)
		}
		return
	}
	l.ticket++
	if waiter != nil {
		l.waiters[l.ticket] = waiter
	}
	c.proposer.Propose(l.ticket, data)
}

// logBlocked tells once what stands in the way of a change.
func (c *Control) logBlocked(l *ledger, name ctid.Group, why ctfailover.Reason) {
	if l.blocked[name] == why {
		return
	}
	l.blocked[name] = why
	if why == ctfailover.NotBlocked {
		return
	}
	c.Logger.Info().Str("event", "decision").Str("decision", "wait").
		Str("group", string(name)).Str("why", string(why)).Send()
}
