package ctcontrol

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
)

// The bounds of the work for groups that an external service promotes in.
const (
	// jobWorkers is how many members are asked at a time.
	jobWorkers = 32
	// pacedGroups is for how many groups their members are asked at the usual pace,
	// and maxPace how much slower a leader of more groups asks them at most.
	pacedGroups = 64
	maxPace     = 8
	// askTime bounds one question, and orderTime one order.
	askTime   = 400 * time.Millisecond
	orderTime = time.Second
)

// MemberClient asks members on behalf of control.
type MemberClient interface {
	// Call asks a question and returns the member's status. The error wraps
	// syscall.ECONNREFUSED where the member's process does not run.
	Call(ctx context.Context, server ctserver.Announcement, question ctsuccession.Command) (ctquery.Status, error)
}

// Promoter is the external service that promotes members.
type Promoter interface {
	// Promote orders the promotion of a member in the name of the leader of an
	// epoch.
	Promote(
		ctx context.Context, group ctid.Group, member ctid.Member, leader ctid.Control, epoch ctquorum.Epoch,
	) (ctsuccession.PromotionOutcome, error)
}

// job is a question or an order on its way: one of question and order is set.
type job struct {
	group    ctid.Group
	member   ctid.Member
	server   ctserver.Announcement
	question ctsuccession.Command
	epoch    ctquorum.Epoch
}

// authorize tells the successions what a proxy reports, and lets the proxy act
// on its view for a while.
func (c *Control) authorize(now time.Time, l *ledger, report *ctview.Report, reply *ctview.Reply) {
	if len(l.successions) == 0 {
		return
	}
	until := c.grant(now, l, report, reply)
	named := l.named(report)
	if reply.Delta != nil && reply.Delta.Large() {
		// A watch brings it; the groups are enough for the proxy to act on.
		reply.Delta = nil
	}
	if reply.Delta == nil && report.Version != l.roster.Version() {
		reply.Groups = l.groupsFor(named)
	}
	l.proxies.ApplyReport(now, report, until)
	for _, name := range named {
		machine, ok := l.successions[name]
		if !ok {
			continue
		}
		machine.ApplyReport(now, l.group(name), report)
		point, asked, known := machine.Sample(now, l.group(name))
		if known && !until.IsZero() {
			reply.LogSamples = append(reply.LogSamples, ctview.LogSample{Group: name, Point: point, Age: now.Sub(asked)})
		}
	}
}

// grant gives a proxy authority, unless it lacks a configuration that must be in
// force by now, and returns until when.
func (c *Control) grant(now time.Time, l *ledger, report *ctview.Report, reply *ctview.Reply) time.Time {
	left, limited := l.overdue(now, report.Revision, c.ApplyTimeout)
	reply.ConfigOutdated = limited && left <= 0
	if !l.authorized(now) || report.Stopping || reply.ConfigOutdated {
		return time.Time{}
	}
	reply.AuthorityTTL = ctconfig.Duration(ctsuccession.AuthorityTTL)
	if limited {
		reply.AuthorityTTL = min(reply.AuthorityTTL, ctconfig.Duration(left))
	}
	return ctsuccession.AuthorityExpiry(now)
}

// groupsFor returns the groups that a proxy without the newest view has to know: those
// that change, and those that it uses.
func (l *ledger) groupsFor(used []ctid.Group) []ctview.Group {
	var groups []ctview.Group
	for name, g := range l.register.Groups {
		if len(l.register.Groups) <= ctview.TrackAllLimit || g.ChangingPrimary() || slices.Contains(used, name) {
			groups = append(groups, g)
		}
	}
	return groups
}

// named lists the groups that a report tells something of, each once.
func (l *ledger) named(report *ctview.Report) []ctid.Group {
	names := make([]ctid.Group, 0, len(report.Reachable)+len(report.Unreachable)+len(report.Fences))
	for _, primaries := range [][]ctid.Member{report.Reachable, report.Unreachable} {
		for _, name := range primaries {
			if announced, ok := l.roster.Member(name); ok {
				names = append(names, announced.Group)
			}
		}
	}
	for _, f := range report.Fences {
		names = append(names, f.Group)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// group returns what is decided on a group.
func (l *ledger) group(name ctid.Group) ctview.Group {
	group := l.register.Groups[name]
	group.Name = name
	return group
}

// pace returns how much slower members are asked where there are many groups.
func (l *ledger) pace() int {
	return min(1+len(l.successions)/pacedGroups, maxPace)
}

// advanceAll lets the successions decide: those under way at each tick, the others
// in turns where there are many.
func (c *Control) advanceAll(now time.Time, l *ledger) {
	l.ticks++
	pace := l.pace()
	for name, machine := range l.successions {
		machine.IntervalFactor = pace
		turn := (uint64(ctpool.KeyOf(name)) + l.ticks) % uint64(pace)
		if group := l.group(name); turn == 0 || group.ChangingPrimary() {
			c.advance(now, l, name)
		}
	}
}

// advance lets a succession decide and does what it asks for.
func (c *Control) advance(now time.Time, l *ledger, name ctid.Group) {
	machine, ok := l.successions[name]
	if !ok || !l.authorized(now) {
		return
	}
	if at, ok := l.proposed[name]; ok && now.Sub(at) < proposalTime {
		return
	}
	group := l.group(name)
	for _, action := range machine.Decide(now, group) {
		switch a := action.(type) {
		case ctsuccession.SendCommand:
			c.put(l, job{group: name, member: a.Member, question: a.Command})
		case ctsuccession.PromotionRequest:
			c.put(l, job{group: name, member: a.Member})
		case ctsuccession.SetGroup:
			l.proposed[name] = now
			c.propose(l, ctregister.SetGroup{
				Group: a.Group, BaseTerm: group.Term, BaseFence: group.Fence, Reason: string(a.Reason), At: now,
			}, nil)
		}
	}
}

func (c *Control) put(l *ledger, j job) {
	j.epoch = l.epoch
	if announced, ok := l.roster.Member(j.member); ok {
		j.server = announced
	}
	c.jobs.Put(ctpool.KeyOf(j.member), j)
}

// do does one job and lets the group's succession go on with what came of it.
func (c *Control) do(held *ctlock.Held, j job) {
	if j.question == nil {
		c.order(held, j)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	status, err := c.Members.Call(ctx, j.server, j.question)
	_, probe := j.question.(ctsuccession.Probe)
	if err != nil || !probe {
		c.logAsked(j, status, err)
	}
	c.resume(held, j, func(now time.Time, machine *ctsuccession.Machine) {
		if err != nil {
			machine.RecordFailure(j.member, errors.Is(err, syscall.ECONNREFUSED))
			return
		}
		machine.RecordStatus(now, j.member, j.question, status)
	})
}

// order orders a promotion, while this process has authority.
func (c *Control) order(held *ctlock.Held, j job) {
	allowed := false
	c.ledger.With(held, func(l *ledger) { allowed = l.authorized(c.Clock.Now()) && l.epoch == j.epoch })
	if !allowed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	outcome, err := c.Promoter.Promote(ctx, j.group, j.member, c.Name, j.epoch)
	line := ctlog.Decision(&c.Logger, "order_promotion").
		Str("group", string(j.group)).
		Str("member", string(j.member)).
		Uint64("epoch", uint64(j.epoch)).
		Uint8("outcome", uint8(outcome))
	if err != nil {
		line.Str("error", err.Error())
	}
	line.Send()
	c.resume(held, j, func(now time.Time, machine *ctsuccession.Machine) {
		machine.RecordPromotion(now, j.member, outcome)
	})
}

// resume gives a succession what came of a job and lets it decide.
func (c *Control) resume(held *ctlock.Held, j job, take func(now time.Time, machine *ctsuccession.Machine)) {
	c.ledger.With(held, func(l *ledger) {
		machine, ok := l.successions[j.group]
		if !ok || l.epoch != j.epoch || !l.leading {
			return
		}
		now := c.Clock.Now()
		take(now, machine)
		c.advance(now, l, j.group)
	})
}

func (c *Control) logAsked(j job, status ctquery.Status, err error) {
	line := c.Logger.Info().Str("event", "member_asked").
		Str("group", string(j.group)).
		Str("member", string(j.member)).
		Str("question", questionName(j.question))
	if err != nil {
		line.Str("error", err.Error()).Send()
		return
	}
	line.Str("role", string(status.Role)).
		Stringer("received", status.Received).
		Uint64("term", uint64(status.Term)).
		Send()
}

func questionName(question ctsuccession.Command) string {
	switch question.(type) {
	case ctsuccession.Pause:
		return "pause"
	case ctsuccession.Resume:
		return "resume"
	case ctsuccession.StepDown:
		return "step_down"
	}
	return "status"
}
