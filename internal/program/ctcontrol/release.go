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
	c.ledger.With(held, func(l *ledger) {
		now := c.Clock.Now()
		switch {
		case !l.authorized(now):
			err = notLeading(l)
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
	c.ledger.With(held, func(l *ledger) { has = l.register.Release > 0 && release <= l.register.Release })
	return has
}

// CurrentConfig returns the configuration in force as the operator wrote it, compressed. It fails
// where this process can't be sure which one that is.
func (c *Control) CurrentConfig(held *ctlock.Held) (ctid.Release, []byte, error) {
	var release ctid.Release
	var source []byte
	var err error
	c.ledger.With(held, func(l *ledger) {
		if !l.authorized(c.Clock.Now()) {
			err = notLeading(l)
			return
		}
		release, source = l.register.Release, l.register.Source
	})
	return release, source, err
}

// ApplyAnnouncement takes what a member said of itself.
func (c *Control) ApplyAnnouncement(held *ctlock.Held, heard *ctframe.Heard) error {
	return c.hearing(held, func(now time.Time, l *ledger) {
		if heard.Deregistered {
			c.leave(l, heard.Announcement.Member)
			return
		}
		c.hearMember(now, l, heard.Announcement)
	})
}

// ApplyAnnouncements takes what members said of themselves.
func (c *Control) ApplyAnnouncements(held *ctlock.Held, announced []ctserver.Announcement) error {
	return c.hearing(held, func(now time.Time, l *ledger) {
		for _, a := range announced {
			c.hearMember(now, l, a)
		}
	})
}

// hearing runs take in the leader with authority, and fails elsewhere.
func (c *Control) hearing(held *ctlock.Held, take func(now time.Time, l *ledger)) error {
	var err error
	c.ledger.With(held, func(l *ledger) {
		now := c.Clock.Now()
		if !l.authorized(now) {
			err = notLeading(l)
			return
		}
		take(now, l)
	})
	return err
}

// hearMember takes what a member said of itself into the roster and into its group's
// succession.
func (c *Control) hearMember(now time.Time, l *ledger, announced ctserver.Announcement) {
	document := l.register.CurrentConfig().Change.Document
	if group, ok := document.Group(announced.Group); ok && group.Connections > 0 {
		announced.Connections = max(group.Connections, announced.Slots+ctserver.ReservedConnections)
	}
	before, known := l.roster.Member(announced.Member)
	taken, changed := l.roster.ApplyAnnouncement(now, &announced)
	if !taken {
		return
	}
	if machine, ok := l.successions[announced.Group]; ok {
		machine.ApplyAnnouncement(now, announced)
	}
	if changed {
		l.notifySoon(now)
	}
	if !known || before.State != announced.State || before.Role != announced.Role {
		c.Logger.Info().Str("event", "decision").Str("decision", "take_member").
			Str("group", string(announced.Group)).Str("member", string(announced.Member)).
			Stringer("address", announced.Address).Str("role", string(announced.Role)).
			Str("state", string(announced.State)).Uint64("sequence", announced.Sequence).Send()
	}
}

// leave takes out a member that has ended.
func (c *Control) leave(l *ledger, name ctid.Member) {
	if !l.roster.DeregisterMember(name) {
		return
	}
	now := c.Clock.Now()
	for _, machine := range l.successions {
		machine.DeregisterMember(now, name)
	}
	l.notifySoon(now)
	c.Logger.Info().Str("event", "decision").Str("decision", "drop_member").
		Str("member", string(name)).Str("why", "ended").Send()
}

// Leader returns the process that leads, as far as this one knows, and whether
// it is this one.
func (c *Control) Leader(held *ctlock.Held) (leader ctid.Control, self bool) {
	c.ledger.With(held, func(l *ledger) {
		leader = l.leader.Name
		self = l.inOffice(c.Clock.Now())
	})
	return leader, self
}
