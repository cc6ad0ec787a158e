package ctconfirm

import (
	"cmp"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// Key identifies a write; the owner of the Tracker assigns it.
type Key uint64

// Write is a committed write that waits to be confirmed. Its outcome is unknown if
// it is not confirmed before the deadline.
type Write struct {
	Key      Key
	Position ctposition.Position
	Deadline time.Time
}

// Tracker tracks the writes of one primary that wait to be confirmed. Set GroupSize
// before first use. It is not safe for concurrent use.
type Tracker struct {
	// GroupSize is the number of members in the group, the primary included.
	GroupSize int

	term ctposition.Term
	// received has the highest position of the term that each replica received.
	received map[ctid.Member]ctposition.Position
	waiting  []Write
}

// BeginTerm starts a term, unless it is not newer than the current one. Positions
// received in earlier terms no longer count. It removes and returns all waiting
// writes, whose outcome is now unknown.
func (t *Tracker) BeginTerm(term ctposition.Term) []Key {
	if term <= t.term {
		return nil
	}
	t.term = term
	t.received = nil
	return t.removeIf(func(Write) bool { return true })
}

// Add reports whether a write of the current term is confirmed already. If not, the
// write waits until it is confirmed, expired or removed.
func (t *Tracker) Add(write Write) bool {
	if write.Position <= t.Confirmed() {
		return true
	}
	t.waiting = append(t.waiting, write)
	return false
}

// RecordReceived records that a replica has received the point. It removes and
// returns the writes that are confirmed by that. It ignores points of other terms.
func (t *Tracker) RecordReceived(replica ctid.Member, point ctposition.Point) []Key {
	if point.Term != t.term || point.Position <= t.received[replica] {
		return nil
	}
	if t.received == nil {
		t.received = make(map[ctid.Member]ctposition.Position)
	}
	t.received[replica] = point.Position
	confirmed := t.Confirmed()
	return t.removeIf(func(w Write) bool { return w.Position <= confirmed })
}

// Expire removes and returns the writes whose deadline has passed.
func (t *Tracker) Expire(now time.Time) []Key {
	return t.removeIf(func(w Write) bool { return !now.Before(w.Deadline) })
}

// Remove removes a write that nobody waits for any more.
func (t *Tracker) Remove(key Key) {
	t.removeIf(func(w Write) bool { return w.Key == key })
}

// Confirmed returns the position up to which a majority of the members has received
// the log of the term. It is the highest possible position if the primary alone is
// a majority, and zero if too few replicas have reported.
func (t *Tracker) Confirmed() ctposition.Position {
	neededReplicas := t.GroupSize / 2
	if neededReplicas == 0 {
		return ^ctposition.Position(0)
	}
	positions := make([]ctposition.Position, 0, len(t.received))
	for _, p := range t.received {
		positions = append(positions, p)
	}
	if len(positions) < neededReplicas {
		return 0
	}
	slices.SortFunc(positions, func(x, y ctposition.Position) int { return cmp.Compare(y, x) })
	return positions[neededReplicas-1]
}

// HighestPending returns the point of the waiting write with the highest position,
// and false if no write waits.
func (t *Tracker) HighestPending() (ctposition.Point, bool) {
	if len(t.waiting) == 0 {
		return ctposition.Point{}, false
	}
	highest := t.waiting[0].Position
	for _, w := range t.waiting {
		highest = max(highest, w.Position)
	}
	return ctposition.Point{Term: t.term, Position: highest}, true
}

// removeIf removes the writes that match and returns their keys.
func (t *Tracker) removeIf(match func(w Write) bool) []Key {
	var keys []Key
	t.waiting = slices.DeleteFunc(t.waiting, func(w Write) bool {
		if !match(w) {
			return false
		}
		keys = append(keys, w.Key)
		return true
	})
	return keys
}
