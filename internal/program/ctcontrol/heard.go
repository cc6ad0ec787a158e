package ctcontrol

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// The times of members' reports that pass through a process that does not lead.
const (
	// batchInterval is how long reports without news are gathered before the leader is
	// told of them.
	batchInterval = 300 * time.Millisecond
	// cacheTTL is how long after the leader took what was gathered reports without
	// news are taken here.
	cacheTTL = 2 * time.Second
	// cachedMemberTTL is how long a member counts as known here after its last report.
	cachedMemberTTL = 10 * time.Second
)

// announcementCache is what a process that does not lead knows of the members that report
// through it. Reports without news are taken here and told to the leader together:
// they are by far the most, and each would cost the leader a question. Its zero value
// knows nobody.
type announcementCache struct {
	members map[ctid.Member]*cachedAnnouncement
	// validUntil is until when reports without news are taken here.
	validUntil time.Time
}

// cachedAnnouncement is a member whose last report with news the leader has taken.
type cachedAnnouncement struct {
	announcement ctserver.Announcement
	lastReport   time.Time
	unsent       bool
}

// acceptUnchanged reports whether a report is without news and the leader hears of it soon.
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

// store notes a report that the leader has taken.
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

// nextBatch returns the reports that the leader was not told of, and forgets members that
// report through other processes now.
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

// extend notes that the leader took what was gathered.
func (c *announcementCache) extend(now time.Time) {
	c.validUntil = now.Add(cacheTTL)
}

// relay takes members' reports without news in a process that does not lead. Its zero
// value is not ready for use.
type relay struct {
	clock ctclock.Clock
	cache cttable.Cell[announcementCache]
	// send tells the leader.
	send func(ctx context.Context, frame ctframe.Frame) error
}

func newRelay(clock ctclock.Clock, send func(ctx context.Context, frame ctframe.Frame) error) *relay {
	return &relay{clock: clock, cache: cttable.Cell[announcementCache]{Rank: ctlock.RankAnnouncements}, send: send}
}

// announce takes a report: at once where it is without news, and otherwise once the leader
// has taken it.
func (r *relay) announce(ctx context.Context, announcement ctserver.Announcement) error {
	var held ctlock.Held
	unchanged := false
	r.cache.With(&held, func(c *announcementCache) { unchanged = c.acceptUnchanged(r.clock.Now(), announcement) })
	if unchanged {
		return nil
	}
	if err := r.send(ctx, &ctframe.Heard{Announcement: announcement}); err != nil {
		return err
	}
	r.cache.With(&held, func(c *announcementCache) { c.store(r.clock.Now(), announcement) })
	return nil
}

// run tells the leader what was gathered until ctx ends.
func (r *relay) run(ctx context.Context) {
	var held ctlock.Held
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(batchInterval):
		}
		var batch []ctserver.Announcement
		r.cache.With(&held, func(c *announcementCache) { batch = c.nextBatch(r.clock.Now()) })
		if len(batch) == 0 || r.send(ctx, &ctframe.Gathered{Announcements: batch}) != nil {
			continue
		}
		r.cache.With(&held, func(c *announcementCache) { c.extend(r.clock.Now()) })
	}
}
