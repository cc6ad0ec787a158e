package ctcontrol

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Publish puts a configuration with an operator's number into force. It returns once this
// or a higher number is durable on a majority of control's disks. If ctx ends first, it
// returns an error and the configuration may still be accepted.
func (c *Control) Publish(ctx context.Context, held *ctlock.Held, p *ctframe.Publish) error {
	outcome := make(chan ctregister.Result, 1)
	var err error
	done := false
	c.state.With(held, func(l *leaderState) {
		now := c.Clock.Now()
		switch {
		case !l.hasAuthority(now):
			err = notLeaderError(l)
		case l.register.Release > 0 && p.Release <= l.register.Release:
			done = true
		default:
			c.propose(l, ctregister.Publish{Release: p.Release, Source: p.Source, At: now}, outcome)
		}
	})
	if err != nil || done {
		return err
	}
	select {
	case _, ok := <-outcome:
		if ok {
			return nil
		}
	case <-ctx.Done():
	}
	return cterror.New(cterror.Unavailable, "whether the configuration was accepted is not known",
		"send it again unchanged")
}

// HasRelease reports whether a release, or a higher one, is known to be durable on a
// majority of control's disks.
func (c *Control) HasRelease(held *ctlock.Held, release ctid.Release) bool {
	has := false
	c.state.With(held, func(l *leaderState) { has = l.register.Release > 0 && release <= l.register.Release })
	return has
}

// CurrentConfig returns the configuration in force in the operator's text, compressed. It
// fails without authority, because a newer configuration may then be in force.
func (c *Control) CurrentConfig(held *ctlock.Held) (ctid.Release, []byte, error) {
	var release ctid.Release
	var source []byte
	var err error
	c.state.With(held, func(l *leaderState) {
		if !l.hasAuthority(c.Clock.Now()) {
			err = notLeaderError(l)
			return
		}
		release, source = l.register.Release, l.register.Source
	})
	return release, source, err
}

// ApplyAnnouncement applies a member's announcement, or its deregistration. It returns once
// the member's run, or its end, is durable.
func (c *Control) ApplyAnnouncement(ctx context.Context, held *ctlock.Held, announced *ctframe.Heard) error {
	if !announced.Deregistered {
		return c.ApplyAnnouncements(ctx, held, []ctserver.Announcement{announced.Announcement})
	}
	unsaved := false
	err := c.withAuthority(held, func(_ time.Time, l *leaderState) {
		unsaved = c.deregisterMember(l, announced.Announcement.Member)
	})
	if err != nil || !unsaved {
		return err
	}
	return c.awaitSaved(ctx, held)
}

// ApplyAnnouncements applies a batch of members' announcements. It returns once the members'
// runs are durable: the next leader has to know whose logs may have commits.
func (c *Control) ApplyAnnouncements(
	ctx context.Context, held *ctlock.Held, announcements []ctserver.Announcement,
) error {
	unsaved := false
	err := c.withAuthority(held, func(now time.Time, l *leaderState) {
		for _, a := range announcements {
			accepted := c.recordAnnouncement(now, l, a)
			unsaved = unsaved || (accepted && len(l.successions) > 0 && l.savedRuns[a.Member] != a.Incarnation)
		}
	})
	if err != nil || !unsaved {
		return err
	}
	return c.awaitSaved(ctx, held)
}

// withAuthority calls apply under the lock if this process has authority as the leader,
// and returns an error otherwise.
func (c *Control) withAuthority(held *ctlock.Held, apply func(now time.Time, l *leaderState)) error {
	var err error
	c.state.With(held, func(l *leaderState) {
		now := c.Clock.Now()
		if !l.hasAuthority(now) {
			err = notLeaderError(l)
			return
		}
		apply(now, l)
	})
	return err
}

// recordAnnouncement applies a member's announcement to the roster and to its group's
// succession. A limit of connections in the group's configuration overrides that of the
// member, but is raised to what the member's slots and the status queries need. It reports
// whether the announcement is not out of date.
func (c *Control) recordAnnouncement(now time.Time, l *leaderState, announcement ctserver.Announcement) bool {
	document := l.register.CurrentConfig().Change.Document
	if group, ok := document.Group(announcement.Group); ok && group.Connections > 0 {
		needed := announcement.Slots + ctserver.ReservedConnections
		announcement.Connections = min(max(group.Connections, needed), ctserver.MaxConnections)
	}
	before, known := l.roster.Member(announcement.Member)
	accepted, changed := l.roster.ApplyAnnouncement(now, &announcement)
	if !accepted {
		if machine, ok := l.successions[announcement.Group]; ok {
			machine.HearMember(announcement.Member)
		}
		return false
	}
	for name, machine := range l.successions {
		if name == announcement.Group {
			machine.ApplyAnnouncement(now, announcement)
		} else {
			machine.ReleaseAddress(now, announcement)
		}
	}
	if changed {
		l.notifyThrottled(now)
	}
	if !known || before.State != announcement.State || before.Role != announcement.Role {
		c.Logger.Info().Str("event", "decision").Str("decision", "take_member").
			Str("group", string(announcement.Group)).Str("member", string(announcement.Member)).
			Stringer("address", announcement.Address).Str("role", string(announcement.Role)).
			Str("state", string(announcement.State)).Uint64("sequence", announcement.Sequence).Send()
	}
	return true
}

// deregisterMember removes a member whose process has ended, and reports whether that is yet to be
// made durable. An operator may send that for a member that is gone without a word.
func (c *Control) deregisterMember(l *leaderState, name ctid.Member) (unsaved bool) {
	_, saved := l.savedRuns[name]
	known := l.roster.DeregisterMember(name)
	now := c.Clock.Now()
	for _, machine := range l.successions {
		known = machine.DeregisterMember(now, name) || known
	}
	unsaved = (known || saved) && len(l.successions) > 0
	if !known {
		return unsaved
	}
	l.notifyThrottled(now)
	c.Logger.Info().Str("event", "decision").Str("decision", "drop_member").
		Str("member", string(name)).Str("why", "ended").Send()
	return unsaved
}

// Leader returns the leader that this process knows of, empty if none, and whether this
// process is itself the active leader.
func (c *Control) Leader(held *ctlock.Held) (leader ctid.Control, self bool) {
	c.state.With(held, func(l *leaderState) {
		leader = l.leader.Name
		self = l.isActiveLeader(c.Clock.Now())
	})
	return leader, self
}
