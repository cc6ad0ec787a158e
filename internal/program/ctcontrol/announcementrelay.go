package ctcontrol

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

const (
	// batchInterval is how often unchanged announcements are sent to the leader.
	batchInterval = 300 * time.Millisecond
	// cacheTTL is how long unchanged announcements are accepted here after the leader
	// last accepted an announcement or a batch.
	cacheTTL = 2 * time.Second
	// cachedMemberTTL is how long a member stays in the cache after its last
	// announcement.
	cachedMemberTTL = 10 * time.Second
	// resendPeriod is how long after its arrival an unchanged announcement may be sent again.
	// A later one would make a member that has ended look alive.
	resendPeriod = 2 * time.Second
)

// announcementCache holds the latest announcement of each member that reports through
// this process. Most announcements are unchanged, and a separate request to the leader
// for each would be costly: they are deduplicated here and sent in batches. The zero
// value is an empty cache.
type announcementCache struct {
	members map[ctid.Member]*cachedAnnouncement
	// validUntil is when the cache stops accepting unchanged announcements.
	validUntil time.Time
}

// cachedAnnouncement is the latest accepted announcement of a member.
type cachedAnnouncement struct {
	announcement ctserver.Announcement
	// lastReport is when the member last announced itself through this process.
	lastReport time.Time
	// unsent reports whether the announcement waits for the next batch.
	unsent bool
}

// acceptUnchanged accepts an announcement that differs from the cached one only by its
// sequence number, and marks it for the next batch. It returns false if the leader must
// be sent the announcement at once.
func (c *announcementCache) acceptUnchanged(now time.Time, announcement ctserver.Announcement) bool {
	entry, ok := c.members[announcement.Member]
	if !ok || !now.Before(c.validUntil) || announcement.State != ctserver.StateReady {
		return false
	}
	expected := entry.announcement
	expected.Sequence = announcement.Sequence
	if expected != announcement || announcement.Sequence < entry.announcement.Sequence {
		return false
	}
	entry.announcement, entry.lastReport, entry.unsent = announcement, now, true
	return true
}

// store records an announcement that the leader has accepted.
func (c *announcementCache) store(now time.Time, announcement ctserver.Announcement) {
	if c.members == nil {
		c.members = make(map[ctid.Member]*cachedAnnouncement)
	}
	c.validUntil = now.Add(cacheTTL)
	if entry, ok := c.members[announcement.Member]; ok && !announcement.Supersedes(&entry.announcement) {
		return
	}
	c.members[announcement.Member] = &cachedAnnouncement{announcement: announcement, lastReport: now}
}

// nextBatch returns the announcements to send to the leader and marks them as sent. It
// evicts members that no longer report through this process.
func (c *announcementCache) nextBatch(now time.Time) []ctserver.Announcement {
	var batch []ctserver.Announcement
	for name, entry := range c.members {
		if entry.unsent {
			entry.unsent = false
			batch = append(batch, entry.announcement)
		}
		if now.Sub(entry.lastReport) > cachedMemberTTL {
			delete(c.members, name)
		}
	}
	return batch
}

// putBack marks the announcements of a batch that did not reach the leader for the next one, unless
// they are too old.
func (c *announcementCache) putBack(now time.Time, batch []ctserver.Announcement) {
	for _, announcement := range batch {
		entry, ok := c.members[announcement.Member]
		if ok && entry.announcement == announcement && now.Sub(entry.lastReport) < resendPeriod {
			entry.unsent = true
		}
	}
}

// extend extends the cache's validity after the leader has accepted a batch.
func (c *announcementCache) extend(now time.Time) {
	c.validUntil = now.Add(cacheTTL)
}

// announcementRelay passes members' announcements on to the leader. Unchanged ones go
// through the cache, and the others in batches. Use newAnnouncementRelay to create one.
type announcementRelay struct {
	clock ctclock.Clock
	cache cttable.Cell[announcementCache]
	// changed sends the announcements that are not in the cache.
	changed *batcher[ctserver.Announcement, struct{}]
	// send sends a frame to the leader and waits for the acknowledgement.
	send func(ctx context.Context, frame ctframe.Frame) error
}

func newAnnouncementRelay(
	clock ctclock.Clock, send func(ctx context.Context, frame ctframe.Frame) error,
) *announcementRelay {
	r := &announcementRelay{
		clock: clock,
		cache: cttable.Cell[announcementCache]{Rank: ctlock.RankAnnouncements},
		send:  send,
	}
	r.changed = newBatcher(clock, forwardTimeout, r.sendChanged)
	return r
}

// sendChanged sends a batch of announcements to the leader. It returns an empty reply for
// each.
func (r *announcementRelay) sendChanged(
	ctx context.Context, announcements []ctserver.Announcement,
) ([]struct{}, error) {
	err := r.send(ctx, &ctframe.Gathered{Announcements: announcements})
	return make([]struct{}, len(announcements)), err
}

// announce accepts an announcement. An unchanged one is accepted at once, any other once
// the leader has accepted it.
func (r *announcementRelay) announce(ctx context.Context, announcement ctserver.Announcement) error {
	var held ctlock.Held
	unchanged := false
	r.cache.With(&held, func(c *announcementCache) { unchanged = c.acceptUnchanged(r.clock.Now(), announcement) })
	if unchanged {
		return nil
	}
	if _, ok := r.changed.call(ctx, &held, announcement); !ok {
		return cterror.New(cterror.Unavailable, "control's leader has not answered", "try again in a second")
	}
	r.cache.With(&held, func(c *announcementCache) { c.store(r.clock.Now(), announcement) })
	return nil
}

// run sends announcements to the leader until ctx ends: changed ones as they arrive,
// unchanged ones at intervals.
func (r *announcementRelay) run(ctx context.Context) {
	go r.changed.run(ctx)
	var held ctlock.Held
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(batchInterval):
		}
		// After an error, those that are not too old are sent with the next batch.
		_ = r.sendUnchanged(ctx, &held)
	}
}

// sendUnchanged sends the unchanged announcements that wait to the leader.
func (r *announcementRelay) sendUnchanged(ctx context.Context, held *ctlock.Held) error {
	var batch []ctserver.Announcement
	r.cache.With(held, func(c *announcementCache) { batch = c.nextBatch(r.clock.Now()) })
	if len(batch) == 0 {
		return nil
	}
	if err := r.send(ctx, &ctframe.Gathered{Announcements: batch}); err != nil {
		r.cache.With(held, func(c *announcementCache) { c.putBack(r.clock.Now(), batch) })
		return err
	}
	r.cache.With(held, func(c *announcementCache) { c.extend(r.clock.Now()) })
	return nil
}
