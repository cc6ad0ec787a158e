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
	// initialViewDelay is how long a new leader hears reports before it gives out a
	// view, so that its first view is not half empty.
	initialViewDelay = 1200 * time.Millisecond
	// defaultMemberTTL is how long a member may go unannounced before it is dropped.
	defaultMemberTTL = 5 * time.Second
	// externalMemberTTL is the same where proxies reach members by themselves.
	externalMemberTTL = 15 * time.Second
	// proposalTimeout is how long a decision on a group may take to be committed
	// before it is proposed again.
	proposalTimeout = time.Second
)

// reportsPerVoterList is one in how many reports is answered with who votes in control.
const reportsPerVoterList = 8

// Proposer appends commands to the replicated log.
type Proposer interface {
	Propose(id ctquorum.ProposalID, data []byte)
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
	state    cttable.Cell[leaderState]
	tasks    ctpool.Pool[memberTask]
}

// New returns a control process that leads nothing yet.
func New(options Options) *Control {
	c := &Control{Options: options, state: cttable.Cell[leaderState]{Rank: ctlock.RankLeader}}
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
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
	c.tasks = ctpool.Pool[memberTask]{Workers: taskWorkers, Handle: c.runTask}
	c.tasks.Start()
	defer c.tasks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(tickInterval):
		}
		c.state.With(&held, func(l *leaderState) {
			if l.leading {
				c.tick(c.Clock.Now(), l)
			}
		})
	}
}

// HandleReport takes a proxy's report and returns the reply.
func (c *Control) HandleReport(held *ctlock.Held, report *ctview.Report) *ctview.Reply {
	reply := &ctview.Reply{Number: report.Number}
	if c.Voters != nil && report.Number%reportsPerVoterList == 1 {
		reply.Controls = c.Voters(held)
	}
	c.state.With(held, func(l *leaderState) {
		now := c.Clock.Now()
		if !l.isActiveLeader(now) {
			c.setNotLeader(l, reply)
			return
		}
		changed := l.roster.ApplyReport(now, report)
		for _, member := range report.HeldMembers {
			c.applyMemberReport(now, l, member, reply)
		}
		if changed {
			l.notifyThrottled(now)
		}
		reply.Delta = l.deltaFor(now, report.Version, report.Revision)
		c.applyToSuccessions(now, l, report, reply)
	})
	return reply
}

// setNotLeader tells a proxy who leads.
func (c *Control) setNotLeader(l *leaderState, reply *ctview.Reply) {
	reply.NotLeader = true
	for _, peer := range c.Peers {
		if peer.Name == l.leader.Name {
			reply.LeaderAddress = &peer.Address
		}
	}
}

// applyMemberReport takes a holder's account of a member and grants the lease that it asks
// for, if this process has authority.
func (c *Control) applyMemberReport(now time.Time, l *leaderState, report ctview.MemberReport, reply *ctview.Reply) {
	machine, ok := l.failovers[report.Group]
	if !ok {
		return
	}
	machine.ApplyReport(now, report)
	c.decideFailover(now, l, report.Group)
	group := l.register.Groups[report.Group]
	if now.Before(l.authorityExpiresAt) && !l.decisionPending(report.Group) && machine.GrantLease(now, group, report) {
		reply.Leases = append(reply.Leases, ctview.Lease{
			Group: report.Group,
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
		c.state.With(held, func(l *leaderState) {
			if !l.isActiveLeader(c.Clock.Now()) {
				c.setNotLeader(l, reply)
				return
			}
			if reply.Delta = l.deltaFor(c.Clock.Now(), version, revision); reply.Delta == nil {
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
func (c *Control) tick(now time.Time, l *leaderState) {
	if now.Sub(l.leadingSince) < initialViewDelay {
		return
	}
	before := l.roster.Version()
	for _, name := range l.roster.Expire(now.Add(-c.ReportTimeout), now.Add(-l.memberTTL())) {
		c.Logger.Info().Str("event", "decision").Str("decision", "drop_proxy").
			Str("proxy", string(name)).Str("why", "silent").Send()
	}
	for name := range l.failovers {
		c.decideFailover(now, l, name)
	}
	l.proxies.Tick(now)
	c.advanceAll(now, l)
	if members, due := l.unsavedMembers(now); due && l.hasAuthority(now) {
		c.propose(l, ctregister.SetMembers{Members: members}, nil)
	}
	if l.roster.Version() != before || !l.initialViewSent || l.notifyPending {
		l.initialViewSent = true
		l.notifyThrottled(now)
	}
}

// decideFailover proposes the group's next decision, if one is due.
func (c *Control) decideFailover(now time.Time, l *leaderState, name ctid.Group) {
	if at, ok := l.proposedAt[name]; ok && now.Sub(at) < proposalTimeout {
		return
	}
	group := l.register.Groups[name]
	group.Name = name
	decided, blocked := l.failovers[name].Decide(now, group)
	proposal, due := decided.Get()
	if !due {
		c.logBlocked(l, name, blocked)
		return
	}
	l.proposedAt[name] = now
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
func (c *Control) propose(l *leaderState, command ctregister.Command, waiter chan<- ctregister.Result) {
	data, err := ctrecord.EncodeCommand(command)
	if err != nil {
		c.Logger.Error().Str("event", "proposal_failed").Str("error", err.Error()).Send()
		if waiter != nil {
			close(waiter)
		}
		return
	}
	l.lastProposalID++
	if waiter != nil {
		l.waiters[l.lastProposalID] = waiter
	}
	c.proposer.Propose(l.lastProposalID, data)
}

// logBlocked tells once what stands in the way of a change.
func (c *Control) logBlocked(l *leaderState, name ctid.Group, reason ctfailover.Reason) {
	if l.blocked[name] == reason {
		return
	}
	l.blocked[name] = reason
	if reason == ctfailover.NotBlocked {
		return
	}
	c.Logger.Info().Str("event", "decision").Str("decision", "wait").
		Str("group", string(name)).Str("why", string(reason)).Send()
}
