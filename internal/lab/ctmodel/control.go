package ctmodel

import (
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Timing of control.
const (
	// initialViewDelay is how long a new leader collects reports before it decides.
	initialViewDelay = 1200 * time.Millisecond
	// rosterTTL is how long the leader lists a member after its last announcement, and
	// saveInterval the interval in which it makes the list durable.
	rosterTTL    = 15 * time.Second
	saveInterval = time.Second
	// proposalTimeout is how long the leader waits for a decision to be committed.
	proposalTimeout = time.Second
	// commandTimeout bounds a command to a member.
	commandTimeout = 400 * time.Millisecond
	// settleInterval is the interval in which a process reports settled promotions.
	settleInterval = 500 * time.Millisecond
)

// control is a process of control.
type control struct {
	name        ctid.Control
	incarnation int
	running     bool
	frozenUntil time.Time
	// disturbedUntil is until when the process or its links to the service and to other
	// processes of control are disturbed, as far as that has begun. It is for the judge.
	disturbedUntil time.Time
	// leading reports whether the process believes that it leads the epoch, and authority
	// until when it may act.
	leading   bool
	epoch     ctview.Epoch
	authority time.Time
	startedAt time.Time
	// fetch is the last fetch of offers.
	fetch ctpromotion.Fetch
	// mark is that of the leader's last reply to a report.
	mark ctsuccession.Mark
	// group is the durable state of the group as far as the process has received it.
	group   ctview.Group
	machine *ctsuccession.Machine
	tracker *ctsuccession.ProxyTracker
	// ledger and requests are what the process knows of the requests that it has decided on
	// and of those that it has sent, and offers are those that others are to send for it.
	ledger   ctpromotion.Ledger
	requests ctpromotion.Requests
	offers   ctpromotion.Offers
	// roster holds the members that the leader lists, and heardAt when each was heard.
	roster  map[ctid.Member]ctserver.Announcement
	heardAt map[ctid.Member]time.Time
	// ended holds the runs of the members that were deregistered.
	ended map[ctid.Member]ctid.Incarnation
	// proposedAt is when a decision was proposed that is not committed yet, or zero.
	proposedAt                time.Time
	saveAt, settleAt, fetchAt time.Time
}

func (c *control) party() party {
	return party(c.name)
}

// acts reports whether the process does anything now.
func (c *control) acts(now time.Time) bool {
	return c.running && !now.Before(c.frozenUntil)
}

func (c *control) hasAuthority(now time.Time) bool {
	return c.leading && now.Before(c.authority)
}

// disturb records that the process is disturbed from now until a time.
func (c *control) disturb(until time.Time) {
	if until.After(c.disturbedUntil) {
		c.disturbedUntil = until
	}
}

// onControl calls run in a process after a delay. A frozen process calls it when it goes
// on, and one that has ended does not.
func (w *world) onControl(c *control, delay time.Duration, run func()) {
	incarnation := c.incarnation
	w.schedule(delay, func() {
		switch {
		case c.incarnation != incarnation || !c.running:
		case w.now.Before(c.frozenUntil):
			w.onControl(c, c.frozenUntil.Sub(w.now)+w.between(0, 5*time.Millisecond), run)
		default:
			run()
		}
	})
}

// restartControl starts a process that remembers what is durable alone.
func (w *world) restartControl(c *control) {
	*c = control{
		name: c.name, incarnation: c.incarnation + 1, running: true, group: c.group, disturbedUntil: c.disturbedUntil,
	}
}

// startLeading makes a process the leader, which knows what the register holds.
func (w *world) startLeading(c *control, epoch ctview.Epoch) {
	c.leading, c.epoch, c.startedAt, c.proposedAt = true, epoch, w.now, time.Time{}
	c.group = w.decided()
	c.roster = make(map[ctid.Member]ctserver.Announcement)
	c.heardAt = make(map[ctid.Member]time.Time)
	c.ended = nil
	c.tracker = ctsuccession.NewProxyTracker(w.now)
	w.startMachine(c)
	for _, announcement := range w.register.Members {
		c.roster[announcement.Member], c.heardAt[announcement.Member] = announcement, w.now
		c.machine.AddMember(w.now, announcement)
	}
}

// tickControl lets a process decide, and learn what others have decided.
func (w *world) tickControl(c *control) {
	if !c.acts(w.now) {
		return
	}
	w.follow(c)
	w.reportSettled(c)
	w.fetchOffers(c)
	if !c.leading || w.now.Sub(c.startedAt) < initialViewDelay {
		return
	}
	for name, heardAt := range c.heardAt {
		if w.now.Sub(heardAt) > rosterTTL {
			delete(c.roster, name)
			delete(c.heardAt, name)
		}
	}
	c.tracker.Tick(w.now)
	w.expireOffers(c)
	w.advance(c)
	if c.hasAuthority(w.now) && !w.now.Before(c.saveAt) {
		c.saveAt = w.now.Add(saveInterval)
		w.saveMembers(c)
	}
}

// follow updates what a process knows if it is connected to the leader, which it then does
// not take itself for any more.
func (w *world) follow(c *control) {
	leader := w.election.leader
	connected := leader != nil && (c == leader || (leader.acts(w.now) && w.reachable(c.party(), leader.party())))
	if !connected {
		return
	}
	c.group = w.decided()
	if c != leader && c.leading {
		w.trace("%s follows %s", c.name, leader.name)
		c.leading, c.authority = false, time.Time{}
	}
}

// advance lets the leader's succession decide and starts the resulting actions.
func (w *world) advance(c *control) {
	if !c.hasAuthority(w.now) || (!c.proposedAt.IsZero() && w.now.Sub(c.proposedAt) < proposalTimeout) {
		return
	}
	group := c.group
	for _, action := range sortedActions(c.machine.Decide(w.now, group)) {
		switch a := action.(type) {
		case ctsuccession.SendCommand:
			w.sendCommand(c, a)
		case ctsuccession.SetGroup:
			c.proposedAt = w.now
			w.propose(c, ctregister.SetGroup{
				Group: a.Group, BaseTerm: group.Term, BaseFence: group.Fence, BaseRequester: group.Requester,
				Reason: string(a.Reason), At: w.now,
			})
		default:
			w.advancePromotion(c, action)
		}
	}
}

// updateLeader tells the leader that a command was committed.
func (w *world) updateLeader(c *control, command ctregister.Command) {
	c.group = w.decided()
	if c.machine != nil {
		c.machine.ApplyGroup(c.group)
	}
	switch command.(type) {
	case ctregister.SetGroup, ctregister.SettlePromotions, ctregister.ReleaseRequester:
		c.proposedAt = time.Time{}
		w.pushGroup(c)
	}
}

// sendCommand sends a command to a member and records the result.
func (w *world) sendCommand(c *control, a ctsuccession.SendCommand) {
	epoch, answered := c.epoch, false
	m := w.memberNamed(a.Member)
	record := func(result func()) {
		if c.epoch != epoch || !c.leading || answered {
			return
		}
		answered = true
		result()
		w.advance(c)
	}
	_, listed := c.roster[a.Member]
	sentAt := w.now
	w.onControl(c, w.latency(), func() {
		if !listed || !w.reachable(c.party(), m.party()) {
			return
		}
		if !m.running {
			w.onControl(c, w.latency(), func() { record(func() { c.machine.RecordFailure(a.Member, true) }) })
			return
		}
		status := m.run(a.Command)
		if w.reachable(m.party(), c.party()) {
			recordStatus := func() { c.machine.RecordStatus(w.now, sentAt, a.Member, a.Command, status) }
			w.onControl(c, w.latency(), func() { record(recordStatus) })
		}
	})
	w.onControl(c, commandTimeout, func() { record(func() { c.machine.RecordFailure(a.Member, false) }) })
}

// handleReport applies a proxy's report. It returns the group, whether authority is
// granted, and whether the process replies as the leader.
func (w *world) handleReport(c *control, report *ctview.Report) (group ctview.Group, granted, ok bool) {
	if !c.leading || !w.now.Before(c.authority.Add(authorityGrace)) {
		return ctview.Group{}, false, false
	}
	var expiresAt time.Time
	if c.hasAuthority(w.now) {
		expiresAt = ctsuccession.AuthorityExpiry(w.now)
	}
	c.tracker.ApplyReport(w.now, report, expiresAt)
	c.machine.ApplyReport(w.now, c.group, report)
	return c.group, !expiresAt.IsZero(), true
}

// announcement returns what a member announces.
func (w *world) announcement(m *member) ctserver.Announcement {
	status := m.status()
	return ctserver.Announcement{
		Group: groupName, Member: m.name, Incarnation: m.incarnation, Role: status.Role, Term: status.Term,
		State: ctserver.StateReady, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, m.name[0]}), 1),
	}
}

// takeAnnouncement applies a member's announcement.
func (w *world) takeAnnouncement(c *control, announcement ctserver.Announcement) {
	if !c.hasAuthority(w.now) {
		return
	}
	if run, ended := c.ended[announcement.Member]; ended && announcement.Incarnation <= run {
		c.machine.HearMember(announcement.Member)
		return
	}
	c.roster[announcement.Member], c.heardAt[announcement.Member] = announcement, w.now
	c.machine.ApplyAnnouncement(w.now, announcement)
}
