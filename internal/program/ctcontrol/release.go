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

// Publish puts a numbered configuration into force. It returns once that, or one
// of a higher number, is durable on a majority of control's disks.
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

// HasRelease reports whether a release, or one of a higher number, is known to be durable
// on a majority of control's disks.
func (c *Control) HasRelease(held *ctlock.Held, release ctid.Release) bool {
	has := false
	c.state.With(held, func(l *leaderState) { has = l.register.Release > 0 && release <= l.register.Release })
	return has
}

// CurrentConfig returns the configuration in force as the operator wrote it, compressed. It fails
// where this process can't be sure which one that is.
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

// ApplyAnnouncement takes what a member said of itself.
func (c *Control) ApplyAnnouncement(held *ctlock.Held, announced *ctframe.Heard) error {
	return c.withAuthority(held, func(now time.Time, l *leaderState) {
		if announced.Deregistered {
			c.deregisterMember(l, announced.Announcement.Member)
			return
		}
		c.recordAnnouncement(now, l, announced.Announcement)
	})
}

// ApplyAnnouncements takes what members said of themselves.
func (c *Control) ApplyAnnouncements(held *ctlock.Held, announcements []ctserver.Announcement) error {
	return c.withAuthority(held, func(now time.Time, l *leaderState) {
		for _, a := range announcements {
			c.recordAnnouncement(now, l, a)
		}
	})
}

// withAuthority runs take in the leader with authority, and fails elsewhere.
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

// recordAnnouncement takes what a member said of itself into the roster and into its group's
// succession.
func (c *Control) recordAnnouncement(now time.Time, l *leaderState, announcement ctserver.Announcement) {
	document := l.register.CurrentConfig().Change.Document
	if group, ok := document.Group(announcement.Group); ok && group.Connections > 0 {
		announcement.Connections = max(group.Connections, announcement.Slots+ctserver.ReservedConnections)
	}
	before, known := l.roster.Member(announcement.Member)
	accepted, changed := l.roster.ApplyAnnouncement(now, &announcement)
	if !accepted {
		return
	}
	if machine, ok := l.successions[announcement.Group]; ok {
		machine.ApplyAnnouncement(now, announcement)
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
}

// deregisterMember takes out a member that has ended.
func (c *Control) deregisterMember(l *leaderState, name ctid.Member) {
	if !l.roster.DeregisterMember(name) {
		return
	}
	now := c.Clock.Now()
	for _, machine := range l.successions {
		machine.DeregisterMember(now, name)
	}
	l.notifyThrottled(now)
	c.Logger.Info().Str("event", "decision").Str("decision", "drop_member").
		Str("member", string(name)).Str("why", "ended").Send()
}

// Leader returns the process that leads, as far as this one knows, and whether
// it is this one.
func (c *Control) Leader(held *ctlock.Held) (leader ctid.Control, self bool) {
	c.state.With(held, func(l *leaderState) {
		leader = l.leader.Name
		self = l.isActiveLeader(c.Clock.Now())
	})
	return leader, self
}
