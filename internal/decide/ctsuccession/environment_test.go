package ctsuccession_test

import (
	"cmp"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// stepInterval is the time between two decisions, and unansweredDelay how long a promotion
// request waits for an answer before its outcome counts as unknown.
const (
	stepInterval    = 20 * time.Millisecond
	unansweredDelay = time.Second
)

// memberServer simulates the backend server of a member.
type memberServer struct {
	status ctquery.Status
	// A down member refuses connections, and an unresponsive one does not answer.
	down, unresponsive bool
	// A quiet member answers, and does not announce itself.
	quiet bool
	// A hung member takes commands, and neither answers nor fails.
	hung  bool
	state ctserver.State
	// address is the last part of its IP number, or 0 for the first byte of its name.
	address byte
	// restarts counts how often the member has started again under its id.
	restarts ctid.Incarnation
}

// event is a function that the environment calls at a time.
type event struct {
	at  time.Time
	run func()
}

// environment simulates a group's members, four proxies and the promotion service for a
// machine.
type environment struct {
	machine ctsuccession.Machine
	proxies *ctsuccession.ProxyTracker
	now     time.Time
	group   ctview.Group
	members map[ctid.Member]*memberServer
	// fenced reports whether the proxies confirm the fence, with lastAcknowledged as the
	// last acknowledged point. They report at each step unless reportsStopped is set.
	// The proxies with an index below unreachable report the primary as unreachable. Of
	// the others, those with an index below reachable report it as reachable.
	fenced           bool
	reportsStopped   bool
	unreachable      int
	reachable        int
	lastAcknowledged ctposition.Point
	requests         []ctid.Member
	// requesters are those of the requests.
	requesters []ctview.Requester
	// rejects lists the members whose promotion the service rejects.
	rejects map[ctid.Member]bool
	// ignores lists the members whose promotion the service accepts without an effect.
	ignores   map[ctid.Member]bool
	decisions []ctsuccession.Reason
	// bases are what the decisions rest on, as far as they say.
	bases []ctsuccession.Basis
	// answerDelay is how long the service takes to answer a promotion request, and
	// effectDelay how long the promotion takes after that.
	answerDelay, effectDelay time.Duration
	// held is how long requests for a member stay in a link that is cut. They have no answer.
	held map[ctid.Member]time.Duration
	// promotedWith is what each member had received when it was promoted last.
	promotedWith map[ctid.Member]ctposition.Point
	// events are the scheduled events, in the order of their times.
	events []event
	// incarnation is that of the proxies' present run.
	incarnation ctid.Incarnation
}

func point(position int) ctposition.Point {
	return ctposition.Point{Term: 1, Position: ctposition.Position(position)}
}

func newEnvironment() *environment {
	e := &environment{
		now:       time.Unix(1000, 0),
		group:     ctview.Group{Name: "g", Term: 1, Primary: "a"},
		fenced:    true,
		reachable: 4,
		rejects:   make(map[ctid.Member]bool),

		incarnation: 1,
		members: map[ctid.Member]*memberServer{
			"a": {status: ctquery.Status{Role: ctserver.RolePrimary, Term: 1, Received: point(100)}},
			"b": {status: ctquery.Status{Role: ctserver.RoleReplica, Term: 1, Received: point(100)}},
			"c": {status: ctquery.Status{Role: ctserver.RoleReplica, Term: 1, Received: point(99)}},
		},
	}
	e.proxies = ctsuccession.NewProxyTracker(e.now)
	e.machine.Begin(e.now, e.proxies)
	e.announce()
	// After this time the leader knows all members and proxies.
	e.run(11 * time.Second)
	return e
}

// changeLeader replaces the leader of control. The new one starts with what is durable.
func (e *environment) changeLeader() {
	unlisted := e.machine.Unlisted(func(ctid.Member) bool { return true })
	listed := e.machine.Unlisted(func(ctid.Member) bool { return false })
	logs, _ := e.machine.LostLogs("g")
	e.proxies = ctsuccession.NewProxyTracker(e.now)
	e.machine.Begin(e.now, e.proxies)
	e.machine.ApplyGroup(e.group)
	for _, announcement := range listed {
		if !slices.Contains(unlisted, announcement) {
			e.machine.AddMember(e.now, announcement)
		}
	}
	for _, announcement := range unlisted {
		e.machine.AddSilent(announcement)
	}
	e.machine.RestoreLostLogs(logs)
}

// losePrimary stops the primary. All proxies report it as unreachable.
func (e *environment) losePrimary() {
	e.members["a"].down = true
	e.unreachable, e.reachable = 4, 0
}

func (e *environment) announce() {
	for name, s := range e.members {
		if s.down || s.unresponsive || s.quiet {
			continue
		}
		state := s.state
		if state == "" {
			state = ctserver.StateReady
		}
		e.machine.ApplyAnnouncement(e.now, ctserver.Announcement{
			Group: "g", Member: name, Incarnation: 1 + s.restarts, State: state, Role: s.status.Role,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, cmp.Or(s.address, name[0])}), 1),
		})
	}
}

func (e *environment) report() {
	if e.reportsStopped {
		return
	}
	for i := range 4 {
		report := &ctview.Report{Proxy: ctview.Proxy{Name: ctid.Proxy(rune('p' + i)), Incarnation: e.incarnation}}
		switch {
		case i < e.unreachable:
			report.Unreachable = []ctid.Member{e.group.Primary}
		case i < e.reachable:
			report.Reachable = []ctid.Member{e.group.Primary}
		}
		if e.fenced && e.group.ChangingPrimary() {
			report.Fences = []ctview.FenceReport{{Group: "g", Fence: e.group.Fence, LastAcknowledged: e.lastAcknowledged}}
		}
		e.applyReport(e.now, report)
	}
}

// applyReport applies a proxy's report to the tracker and the machine.
func (e *environment) applyReport(now time.Time, report *ctview.Report) {
	e.proxies.ApplyReport(now, report, ctsuccession.AuthorityExpiry(now))
	e.machine.ApplyReport(now, e.group, report)
}

// run advances the simulated time in steps, with all events, reports and actions.
func (e *environment) run(d time.Duration) {
	for until := e.now.Add(d); e.now.Before(until); {
		e.now = e.now.Add(stepInterval)
		for len(e.events) > 0 && !e.events[0].at.After(e.now) {
			run := e.events[0].run
			e.events = e.events[1:]
			run()
		}
		e.announce()
		e.report()
		e.proxies.Tick(e.now)
		for _, action := range e.machine.Decide(e.now, e.group) {
			e.perform(action)
		}
	}
}

func (e *environment) perform(action ctsuccession.Action) {
	switch a := action.(type) {
	case ctsuccession.SendCommand:
		e.send(a)
	case ctsuccession.PromotionRequest:
		e.requesters = append(e.requesters, a.Requester)
		e.requestPromotion(a.Promotion.Member)
	case ctsuccession.SetGroup:
		e.group = a.Group
		e.machine.ApplyGroup(e.group)
		e.decisions = append(e.decisions, a.Reason)
		if a.Basis != nil {
			e.bases = append(e.bases, a.Basis)
		}
	case ctsuccession.ReleaseRequester:
		e.group.Requester = ctview.Requester{}
	case ctsuccession.SettlePromotions:
		isSettled := func(p ctview.Promotion) bool { return slices.Contains(a.Promotions, p) }
		e.group.Unsettled = slices.DeleteFunc(e.group.Unsettled, isSettled)
	}
}

func (e *environment) send(a ctsuccession.SendCommand) {
	s, exists := e.members[a.Member]
	if !exists || s.down || s.unresponsive {
		e.machine.RecordFailure(a.Member, !exists || s.down)
		return
	}
	if s.hung {
		return
	}
	switch c := a.Command.(type) {
	case ctsuccession.Pause:
		s.status.PausedBelow = c.Fence
	case ctsuccession.Resume:
		s.status.PausedBelow = 0
	case ctsuccession.StepDown:
		s.status.Role = ctserver.RoleReplica
	}
	e.machine.RecordStatus(e.now, e.now, a.Member, a.Command, s.status)
}

func (e *environment) requestPromotion(name ctid.Member) {
	e.requests = append(e.requests, name)
	if e.rejects[name] || e.members[name].down {
		e.machine.RecordPromotion(e.now, name, ctsuccession.PromotionRejected)
		return
	}
	if hold := e.held[name]; hold > 0 {
		e.schedule(unansweredDelay, func() { e.machine.RecordPromotion(e.now, name, ctsuccession.PromotionUnknown) })
		e.schedule(hold, func() { e.promote(name) })
		return
	}
	e.schedule(e.answerDelay, func() { e.machine.RecordPromotion(e.now, name, ctsuccession.PromotionAccepted) })
	// The promotion of a primary has no effect.
	if !e.ignores[name] && e.members[name].status.Role != ctserver.RolePrimary {
		e.schedule(e.answerDelay+e.effectDelay, func() { e.promote(name) })
	}
}

// schedule calls run after a delay, or at once if the delay is 0.
func (e *environment) schedule(wait time.Duration, run func()) {
	if wait == 0 {
		run()
		return
	}
	e.events = append(e.events, event{at: e.now.Add(wait), run: run})
	slices.SortStableFunc(e.events, func(a, b event) int { return a.at.Compare(b.at) })
}

// promote makes a member the primary of the next term.
func (e *environment) promote(name ctid.Member) {
	var newest ctposition.Term
	for _, s := range e.members {
		newest = max(newest, s.status.Term)
	}
	s := e.members[name]
	if e.promotedWith == nil {
		e.promotedWith = make(map[ctid.Member]ctposition.Point)
	}
	e.promotedWith[name] = s.status.Received
	s.status.Role, s.status.Term, s.status.PausedBelow = ctserver.RolePrimary, newest+1, 0
	s.status.Received.Term = s.status.Term
}

func assertPrimary(t *testing.T, e *environment, name ctid.Member, term int) {
	t.Helper()
	assert.Equal(t, e.group.Primary, name)
	assert.Equal(t, e.group.Term, ctposition.Term(term))
	assert.Assert(t, !e.group.ChangingPrimary())
}

func assertNoRequest(t *testing.T, e *environment) {
	t.Helper()
	assert.Equal(t, len(e.requests), 0, "%v", e.decisions)
}
