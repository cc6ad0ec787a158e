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
	// gatherTime is how long reports without news are gathered before the leader is
	// told of them.
	gatherTime = 300 * time.Millisecond
	// trustTime is how long after the leader took what was gathered reports without
	// news are taken here.
	trustTime = 2 * time.Second
	// forgetHeardTime is how long a member counts as known here after its last report.
	forgetHeardTime = 10 * time.Second
)

// hearing is what a process that does not lead knows of the members that report
// through it. Reports without news are taken here and told to the leader together:
// they are by far the most, and each would cost the leader a question. Its zero value
// knows nobody.
type hearing struct {
	members map[ctid.Member]*heardMember
	// trusted is until when reports without news are taken here.
	trusted time.Time
}

// heardMember is a member whose last report with news the leader has taken.
type heardMember struct {
	announced ctserver.Announcement
	heard     time.Time
	waits     bool
}

// take reports whether a report is without news and the leader hears of it soon.
func (h *hearing) take(now time.Time, announced ctserver.Announcement) bool {
	known, ok := h.members[announced.Member]
	if !ok || !now.Before(h.trusted) || announced.State != ctserver.StateReady {
		return false
	}
	same := known.announced
	same.Sequence = announced.Sequence
	if same != announced || announced.Sequence < known.announced.Sequence {
		return false
	}
	known.announced, known.heard, known.waits = announced, now, true
	return true
}

// learn notes a report that the leader has taken.
func (h *hearing) learn(now time.Time, announced ctserver.Announcement) {
	if h.members == nil {
		h.members = make(map[ctid.Member]*heardMember)
	}
	h.trusted = now.Add(trustTime)
	if known, ok := h.members[announced.Member]; ok && !announced.Supersedes(&known.announced) {
		return
	}
	h.members[announced.Member] = &heardMember{announced: announced, heard: now}
}

// gather returns the reports that the leader was not told of, and forgets members that
// report through other processes now.
func (h *hearing) gather(now time.Time) []ctserver.Announcement {
	var gathered []ctserver.Announcement
	for name, known := range h.members {
		if known.waits {
			known.waits = false
			gathered = append(gathered, known.announced)
		}
		if now.Sub(known.heard) > forgetHeardTime {
			delete(h.members, name)
		}
	}
	return gathered
}

// trust notes that the leader took what was gathered.
func (h *hearing) trust(now time.Time) {
	h.trusted = now.Add(trustTime)
}

// relay takes members' reports without news in a process that does not lead. Its zero
// value is not ready for use.
type relay struct {
	clock   ctclock.Clock
	hearing cttable.Cell[hearing]
	// tell tells the leader.
	tell func(ctx context.Context, frame ctframe.Frame) error
}

func newRelay(clock ctclock.Clock, tell func(ctx context.Context, frame ctframe.Frame) error) *relay {
	return &relay{clock: clock, hearing: cttable.Cell[hearing]{Rank: ctlock.RankAnnouncements}, tell: tell}
}

// hear takes a report: at once where it is without news, and otherwise once the leader
// has taken it.
func (r *relay) hear(ctx context.Context, announced ctserver.Announcement) error {
	var held ctlock.Held
	taken := false
	r.hearing.With(&held, func(h *hearing) { taken = h.take(r.clock.Now(), announced) })
	if taken {
		return nil
	}
	if err := r.tell(ctx, &ctframe.Heard{Announcement: announced}); err != nil {
		return err
	}
	r.hearing.With(&held, func(h *hearing) { h.learn(r.clock.Now(), announced) })
	return nil
}

// run tells the leader what was gathered until ctx ends.
func (r *relay) run(ctx context.Context) {
	var held ctlock.Held
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(gatherTime):
		}
		var gathered []ctserver.Announcement
		r.hearing.With(&held, func(h *hearing) { gathered = h.gather(r.clock.Now()) })
		if len(gathered) == 0 || r.tell(ctx, &ctframe.Gathered{Announcements: gathered}) != nil {
			continue
		}
		r.hearing.With(&held, func(h *hearing) { h.trust(r.clock.Now()) })
	}
}
