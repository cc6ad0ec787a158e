package ctcontrol

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctfailover"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctrecord"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

const (
	// tickInterval is how often the leader checks for due decisions.
	tickInterval = 20 * time.Millisecond
	// initialViewDelay is how long a new leader collects reports before it sends a view,
	// so that its first view is not half empty.
	initialViewDelay = 1200 * time.Millisecond
	// defaultMemberTTL is how long a member stays in the view after its last
	// announcement.
	defaultMemberTTL = 5 * time.Second
	// externalMemberTTL replaces defaultMemberTTL where an external service promotes
	// members. Proxies connect to the members directly there, so a member that is cut off
	// from control may still serve.
	externalMemberTTL = 15 * time.Second
	// proposalTimeout is how long a decision on a group may take to be committed before
	// it is proposed again.
	proposalTimeout = time.Second
)

// reportsPerVoterList is the number of reports of a proxy per reply that lists control's
// voters. The replies to a proxy whose authority has lapsed always do.
const reportsPerVoterList = 8

// Proposer appends commands to the replicated log. Its Propose does not wait for the
// outcome.
type Proposer interface {
	Propose(id ctquorum.ProposalID, data []byte)
}

// Options are the dependencies and settings of a Control.
type Options struct {
	Name   ctid.Control
	Peers  []PeerAddress
	Clock  ctclock.Clock
	Logger zerolog.Logger
	// ReportTimeout is how long after its last report a proxy is removed, and how long a
	// member may go unreported before its group's failover counts it as lost.
	ReportTimeout time.Duration
	// Members and Promoter serve the groups whose primaries an external service promotes.
	// They are nil if there are no such groups.
	Members  MemberClient
	Promoter Promoter
	// Metrics counts promotion requests. If it is nil, they are counted where nobody reads.
	Metrics *ctmetric.Control
	// ApplyTimeout is how long after its acceptance a configuration must be in force on
	// every proxy. A proxy that has not reported it by then gets no authority until it
	// does. 0 sets no limit.
	ApplyTimeout time.Duration
	// DecodeConfig decodes a configuration from the operator's text in compressed form.
	// It is nil if operators change the configuration only with ChangeConfig, not with
	// Publish.
	DecodeConfig func(source []byte) (ctconfig.Document, error)
	// Quotas say how strictly the rate limits of workspaces are enforced.
	Quotas ctquota.Bounds
	// Voters returns the control processes that vote. It is nil if proxies know them from
	// their settings.
	Voters func(held *ctlock.Held) []ctid.Control
}

// Control applies the replicated log of a control process to its state. While the process
// leads, it also collects reports and decides on the fleet.
type Control struct {
	Options

	proposer Proposer
	state    cttable.Cell[leaderState]
	tasks    ctpool.Pool[memberTask]
	// memberSaves makes what is known of the members durable, for calls that wait for that.
	memberSaves *batcher[struct{}, struct{}]
}

// New returns a control process that does not lead. SetProposer must be called before
// Run.
func New(options Options) *Control {
	if options.Metrics == nil {
		options.Metrics = ctmetric.NewControl(prometheus.NewRegistry())
	}
	c := &Control{Options: options, state: cttable.Cell[leaderState]{Rank: ctlock.RankLeader}}
	c.memberSaves = newBatcher(options.Clock, forwardTimeout, c.saveMembers)
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
		l.self = options.Name
		l.bounds = options.Quotas
		l.results = make(map[ctquorum.Index]ctregister.Result)
		l.waiters = make(map[ctquorum.ProposalID]chan<- ctregister.Result)
	})
	return c
}

// SetProposer sets where commands are proposed. It must be called before Run.
func (c *Control) SetProposer(proposer Proposer) {
	c.proposer = proposer
}

// Run makes the leader's periodic decisions until ctx ends.
func (c *Control) Run(ctx context.Context) {
	var held ctlock.Held
	c.tasks = ctpool.Pool[memberTask]{Workers: taskWorkers, Handle: c.runTask}
	c.tasks.Start()
	defer c.tasks.Stop()
	go c.memberSaves.run(ctx)
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

// HandleReport applies a proxy's report and returns the reply. A process that does not
// lead applies nothing and replies with the leader's address, if it knows it.
func (c *Control) HandleReport(held *ctlock.Held, report *ctview.Report) *ctview.Reply {
	return c.handleReport(held, report, false)
}

// handleReport is HandleReport for reports of proxies and for relayed ones. The reply to a relayed
// report has no delta, as the process that relays it has the view. No reply has one where an
// external service promotes members: the proxy's watch returns the delta, and the groups in the
// reply are enough to act on.
func (c *Control) handleReport(held *ctlock.Held, report *ctview.Report, relayed bool) *ctview.Reply {
	reply := &ctview.Reply{Number: report.Number}
	if c.Voters != nil && (report.Lapsed || report.Number%reportsPerVoterList == 1) {
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
		if !relayed && len(l.successions) == 0 {
			reply.Delta = l.deltaFor(now, report.Version, report.Revision)
		}
		c.applyToSuccessions(now, l, report, reply)
		applyQuotas(now, l, report, reply)
	})
	return reply
}

// setNotLeader marks a reply as coming from a process that does not lead, and adds the
// leader's address if it is among the peers.
func (c *Control) setNotLeader(l *leaderState, reply *ctview.Reply) {
	reply.NotLeader = true
	for _, peer := range c.Peers {
		if peer.Name == l.leader.Name {
			reply.LeaderAddress = &peer.Address
		}
	}
}

// applyMemberReport applies a holder's report on a member. It grants the write lease that
// the report requests if this process has authority.
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

// Watch waits for a view that is newer than the given version and returns the delta to
// it. The revision is the proxy's configuration, on which a configuration patch can
// build. If ctx ends first, the reply has no delta. A process that does not lead replies
// at once.
func (c *Control) Watch(
	ctx context.Context, held *ctlock.Held, version ctview.Version, revision ctid.Revision,
) *ctview.Reply {
	for {
		reply := &ctview.Reply{}
		var woken chan struct{}
		c.state.With(held, func(l *leaderState) {
			if !l.isActiveLeader(c.Clock.Now()) {
				c.setNotLeader(l, reply)
				return
			}
			if reply.Delta = l.deltaFor(c.Clock.Now(), version, revision); reply.Delta == nil {
				woken = l.watchers.add()
			}
		})
		if reply.Delta != nil || reply.NotLeader {
			return reply
		}
		select {
		case <-woken:
		case <-ctx.Done():
			c.state.With(held, func(l *leaderState) { l.watchers.remove(woken) })
			return reply
		}
	}
}

// tick removes proxies and members whose reports have timed out and makes the decisions
// that are due. Until the initial view delay has passed, it proposes quota marks only.
func (c *Control) tick(now time.Time, l *leaderState) {
	c.proposeQuotaMarks(now, l)
	if now.Sub(l.leadingSince) < initialViewDelay {
		if l.notifyPending {
			l.notifyThrottled(now)
		}
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
	c.expireOffers(now, l)
	c.checkQuotas(now, l)
	c.advanceAll(now, l)
	if members, due := l.unsavedMembers(now); due && l.hasAuthority(now) {
		c.propose(l, members, nil)
	}
	if l.roster.Version() != before || !l.initialViewSent || l.notifyPending {
		l.initialViewSent = true
		l.notifyThrottled(now)
	}
}

// decideFailover proposes the group's next decision, if one is due and no earlier one is
// pending.
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
		// Control requests no promotions of such a group.
		BaseRequester: group.Requester,
		Reason:        string(proposal.Reason),
		At:            now,
	}, nil)
}

// propose appends a command to the replicated log. The result is sent to the waiter,
// unless that is nil. The waiter is closed without a result if the command could not be
// encoded, was rejected, or its outcome is unknown.
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

// logBlocked logs why a wanted change cannot proceed, once for each change of the reason.
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
