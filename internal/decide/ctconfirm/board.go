package ctconfirm

import (
	"cmp"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// Key names a write for its owner.
type Key uint64

// Write is a committed write that waits for its confirmation.
type Write struct {
	Key      Key
	Position ctposition.Position
	Deadline time.Time
}

// Tracker holds the writes of one primary that wait for their confirmation. Size
// is set at its start.
type Tracker struct {
	// GroupSize is how many members the group has.
	GroupSize int

	term     ctposition.Term
	received map[ctid.Member]ctposition.Position
	waiting  []Write
}

// BeginTerm starts a term. What members confirmed in earlier terms counts for
// nothing in it; the writes that wait for it are returned, and their outcome is
// unknown.
func (t *Tracker) BeginTerm(term ctposition.Term) []Key {
	if term <= t.term {
		return nil
	}
	t.term = term
	t.received = nil
	return t.removeIf(func(Write) bool { return true })
}

// Add adds a write and reports whether it is confirmed already.
func (t *Tracker) Add(write Write) bool {
	if write.Position <= t.Confirmed() {
		return true
	}
	t.waiting = append(t.waiting, write)
	return false
}

// RecordReceived notes that a replica has received the point, and returns the writes
// that are confirmed by that.
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

// Expire takes the writes whose deadline has passed.
func (t *Tracker) Expire(now time.Time) []Key {
	return t.removeIf(func(w Write) bool { return !now.Before(w.Deadline) })
}

// Remove drops a write whose owner waits no more.
func (t *Tracker) Remove(key Key) {
	t.removeIf(func(w Write) bool { return w.Key == key })
}

// Confirmed returns the position up to which a majority holds the log.
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

// HighestPending returns the highest position that a write waits for.
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
