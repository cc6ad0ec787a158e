package ctcontrol

import (
	"context"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
)

const (
	// taskWorkers is how many members are sent commands concurrently.
	taskWorkers = 32
	// groupsPerIntervalFactor is the number of groups that raises the interval factor by
	// 1: the more groups a leader has, the less often it probes each member.
	// maxIntervalFactor limits the factor.
	groupsPerIntervalFactor = 64
	maxIntervalFactor       = 8
	// commandTimeout bounds a command to a member.
	commandTimeout = 400 * time.Millisecond
)

// MemberClient sends commands to members on behalf of control.
type MemberClient interface {
	// Call sends a command and returns the member's status. The error wraps
	// syscall.ECONNREFUSED if the member's process does not run.
	Call(ctx context.Context, server ctserver.Announcement, command ctsuccession.Command) (ctquery.Status, error)
}

// Promoter requests promotions from the external service that promotes members.
type Promoter interface {
	// Promote requests the promotion of a member in the name of the group's requester, under
	// the epoch in which that one became it, and calls the functions of trace.
	Promote(
		ctx context.Context, group ctid.Group, member ctid.Member, requester ctid.Control, epoch ctquorum.Epoch,
		trace PromotionTrace,
	) (ctsuccession.PromotionOutcome, error)
}

// PromotionTrace holds functions that a Promoter calls at the steps of a request, each at most
// once. They may be nil, and may be called by other goroutines and after Promote has returned.
type PromotionTrace struct {
	// Connected is called when the connection to the service is open. If it returns false, the
	// request is not written, and its outcome is deferred.
	Connected func() bool
	// Written is called when the last byte of the request is written to the connection.
	Written func()
}

// memberTask is a command to a member or, if command is nil, a promotion request. Its
// result is ignored if the epoch has changed.
type memberTask struct {
	group     ctid.Group
	member    ctid.Member
	server    ctserver.Announcement
	command   ctsuccession.Command
	promotion ctview.Promotion
	requester ctview.Requester
	epoch     ctquorum.Epoch
}

// key returns the key of the task's promotion in the ledger.
func (t *memberTask) key() ctpromotion.Key {
	return ctpromotion.Key{Group: t.group, Promotion: t.promotion}
}

// applyToSuccessions applies a proxy's report to the successions of the groups that it
// names. It grants the proxy authority and adds the groups and log samples to the reply.
func (c *Control) applyToSuccessions(now time.Time, l *leaderState, report *ctview.Report, reply *ctview.Reply) {
	if len(l.successions) == 0 {
		return
	}
	expiresAt := c.grantAuthority(now, l, report, reply)
	groups := reportedGroups(report, l.groupOf)
	if report.Version != l.roster.Version() {
		reply.Groups = l.replyGroups(report, groups)
	}
	l.proxies.ApplyReport(now, report, expiresAt)
	for _, name := range groups {
		machine, ok := l.successions[name]
		if !ok {
			continue
		}
		machine.ApplyReport(now, l.group(name), report)
	}
	if !expiresAt.IsZero() {
		reply.LogSamples = l.logSamples(now, groups)
	}
}

// logSamples returns the known samples of the logs of the groups in use. In a fleet with few
// groups these are all groups: a proxy that lacks a sample queries the primary itself, and
// those queries would grow with the number of proxies.
func (l *leaderState) logSamples(now time.Time, used []ctid.Group) []ctview.LogSample {
	if len(l.successions) <= ctview.TrackAllLimit {
		used = slices.Sorted(maps.Keys(l.successions))
	}
	var samples []ctview.LogSample
	for _, name := range used {
		machine, ok := l.successions[name]
		if !ok {
			continue
		}
		if point, sampledAt, known := machine.Sample(now, l.group(name)); known {
			samples = append(samples, ctview.LogSample{Group: name, Point: point, Age: now.Sub(sampledAt)})
		}
	}
	return samples
}

// grantAuthority grants a proxy authority in the reply, and returns until when. It
// returns the zero time and grants none if this process has no authority, if the proxy is
// stopping, or if it lacks a configuration or a view that it must have by now.
func (c *Control) grantAuthority(now time.Time, l *leaderState, report *ctview.Report, reply *ctview.Reply) time.Time {
	timeLeft, limited := l.configTimeLeft(now, report.Revision, c.ApplyTimeout)
	reply.ConfigOutdated = limited && timeLeft <= 0
	if !l.hasAuthority(now) || report.Stopping || reply.ConfigOutdated || l.mustAwaitView(report) {
		return time.Time{}
	}
	reply.AuthorityTTL = ctconfig.Duration(ctsuccession.AuthorityTTL)
	if limited {
		reply.AuthorityTTL = min(reply.AuthorityTTL, ctconfig.Duration(timeLeft))
	}
	return ctsuccession.AuthorityExpiry(now)
}

// maxReplyGroups is how many groups a reply lists at most because a proxy's authority has
// lapsed. With more groups, the proxy gets the view first.
const maxReplyGroups = 256

// replyGroups returns the groups for a proxy without the newest view. It uses those in used.
func (l *leaderState) replyGroups(report *ctview.Report, used []ctid.Group) []ctview.Group {
	groups := neededGroups(l.register.Groups, used)
	switch {
	case !report.Lapsed:
		return groups
	case l.roster.Issued(report.Version):
		return mergeGroups(groups, l.roster.GroupsSince(report.Version))
	case l.mustAwaitView(report):
		return groups
	}
	return slices.Collect(maps.Values(l.register.Groups))
}

// mustAwaitView reports whether a proxy gets no authority before it has a view of this
// leader: it may have missed changes of primaries, and the groups are too many for a reply.
func (l *leaderState) mustAwaitView(report *ctview.Report) bool {
	return report.Lapsed && len(l.register.Groups) > maxReplyGroups && !l.roster.Issued(report.Version)
}

// neededGroups returns the groups that a proxy without the newest view has to know: those
// whose primary is changing and those that the proxy uses. In a fleet with few groups it
// returns all.
func neededGroups(all map[ctid.Group]ctview.Group, used []ctid.Group) []ctview.Group {
	var groups []ctview.Group
	for name, g := range all {
		if len(all) <= ctview.TrackAllLimit || g.ChangingPrimary() || slices.Contains(used, name) {
			groups = append(groups, g)
		}
	}
	return groups
}

// groupOf returns the group of a member, if the member is listed.
func (l *leaderState) groupOf(member ctid.Member) (ctid.Group, bool) {
	announcement, ok := l.roster.Member(member)
	return announcement.Group, ok
}

// reportedGroups returns the groups that a report contains something about, each once.
// groupOf returns the group of a member.
func reportedGroups(report *ctview.Report, groupOf func(ctid.Member) (ctid.Group, bool)) []ctid.Group {
	names := make([]ctid.Group, 0, len(report.Reachable)+len(report.Unreachable)+len(report.Fences))
	for _, primaries := range [][]ctid.Member{report.Reachable, report.Unreachable} {
		for _, name := range primaries {
			if group, ok := groupOf(name); ok {
				names = append(names, group)
			}
		}
	}
	for _, f := range report.Fences {
		names = append(names, f.Group)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// group returns what is decided on a group. A group without a decision has only its name.
func (l *leaderState) group(name ctid.Group) ctview.Group {
	group := l.register.Groups[name]
	group.Name = name
	return group
}

// intervalFactor returns the factor by which the interval between two probes of a member
// is stretched. It grows with the number of groups.
func (l *leaderState) intervalFactor() int {
	return min(1+len(l.successions)/groupsPerIntervalFactor, maxIntervalFactor)
}

// advanceAll advances the successions. Those with a change of primary in progress advance
// at each tick. The others take turns, each once in intervalFactor ticks.
func (c *Control) advanceAll(now time.Time, l *leaderState) {
	l.tickCount++
	factor := l.intervalFactor()
	for name, machine := range l.successions {
		machine.IntervalFactor = factor
		phase := (uint64(ctpool.KeyOf(name)) + l.tickCount) % uint64(factor)
		if group := l.group(name); phase == 0 || group.ChangingPrimary() {
			c.advance(now, l, name)
		}
	}
}

// advance lets a succession decide and starts the resulting actions.
func (c *Control) advance(now time.Time, l *leaderState, name ctid.Group) {
	machine, ok := l.successions[name]
	if !ok || !l.hasAuthority(now) {
		return
	}
	if at, ok := l.proposedAt[name]; ok && now.Sub(at) < proposalTimeout {
		return
	}
	group := l.group(name)
	for _, action := range machine.Decide(now, group) {
		switch a := action.(type) {
		case ctsuccession.SendCommand:
			c.enqueueTask(l, memberTask{group: name, member: a.Member, command: a.Command})
		case ctsuccession.PromotionRequest:
			c.enqueueTask(l, memberTask{
				group: name, member: a.Promotion.Member, promotion: a.Promotion, requester: a.Requester,
			})
		case ctsuccession.SetGroup:
			l.proposedAt[name] = now
			c.logBasis(group, a)
			c.propose(l, ctregister.SetGroup{
				Group: a.Group, BaseTerm: group.Term, BaseFence: group.Fence, BaseRequester: group.Requester,
				Reason: string(a.Reason), At: now,
			}, nil)
		case ctsuccession.SettlePromotions:
			l.proposedAt[name] = now
			c.propose(l, ctregister.SettlePromotions{
				Group: name, Promotions: a.Promotions, Reason: string(a.Reason),
			}, nil)
		case ctsuccession.ReleaseRequester:
			l.proposedAt[name] = now
			c.proposeRelease(l, name, a)
		}
	}
	c.logWaits(l, name, machine.Waits(now, group))
}

// enqueueTask queues a task in the current epoch. Tasks for the same member run in order.
func (c *Control) enqueueTask(l *leaderState, t memberTask) {
	t.epoch = l.epoch
	if announcement, ok := l.roster.Member(t.member); ok {
		t.server = announcement
	}
	c.tasks.Put(ctpool.KeyOf(t.member), t)
}

// runTask runs one task and records its result in the group's succession.
func (c *Control) runTask(held *ctlock.Held, t memberTask) {
	if t.command == nil {
		c.requestPromotion(held, t)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	sentAt := c.Clock.Now()
	status, err := c.Members.Call(ctx, t.server, t.command)
	_, probe := t.command.(ctsuccession.Probe)
	if err != nil || !probe {
		c.logCommand(t, status, err)
	}
	c.recordResult(held, t, func(now time.Time, machine *ctsuccession.Machine) {
		if err != nil {
			machine.RecordFailure(t.member, errors.Is(err, syscall.ECONNREFUSED))
			return
		}
		machine.RecordStatus(now, sentAt, t.member, t.command, status)
	})
}

// recordResult calls record with the succession of the task's group, under the lock, and
// then lets the succession decide. It does nothing if the task's epoch has ended.
func (c *Control) recordResult(
	held *ctlock.Held, t memberTask, record func(now time.Time, machine *ctsuccession.Machine),
) {
	c.state.With(held, func(l *leaderState) {
		machine, ok := l.successions[t.group]
		if !ok || l.epoch != t.epoch || !l.leading {
			return
		}
		now := c.Clock.Now()
		record(now, machine)
		c.advance(now, l, t.group)
	})
}

func (c *Control) logCommand(t memberTask, status ctquery.Status, err error) {
	event := c.Logger.Info().Str("event", "member_asked").
		Str("group", string(t.group)).
		Str("member", string(t.member)).
		Str("question", commandName(t.command))
	if err != nil {
		event.Str("error", err.Error()).Send()
		return
	}
	event.Str("role", string(status.Role)).
		Stringer("received", status.Received).
		Uint64("term", uint64(status.Term)).
		Send()
}

func commandName(command ctsuccession.Command) string {
	switch command.(type) {
	case ctsuccession.Pause:
		return "pause"
	case ctsuccession.Resume:
		return "resume"
	case ctsuccession.StepDown:
		return "step_down"
	}
	return "status"
}
