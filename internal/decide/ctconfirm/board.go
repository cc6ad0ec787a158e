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
func (b *Tracker) BeginTerm(term ctposition.Term) []Key {
	if term <= b.term {
		return nil
	}
	b.term = term
	b.received = nil
	return b.take(func(Write) bool { return true })
}

// Add adds a write and reports whether it is confirmed already.
func (b *Tracker) Add(write Write) bool {
	if write.Position <= b.Confirmed() {
		return true
	}
	b.waiting = append(b.waiting, write)
	return false
}

// RecordReceived notes that a replica has received the point, and returns the writes
// that are confirmed by that.
func (b *Tracker) RecordReceived(replica ctid.Member, point ctposition.Point) []Key {
	if point.Term != b.term || point.Position <= b.received[replica] {
		return nil
	}
	if b.received == nil {
		b.received = make(map[ctid.Member]ctposition.Position)
	}
	b.received[replica] = point.Position
	confirmed := b.Confirmed()
	return b.take(func(w Write) bool { return w.Position <= confirmed })
}

// Expire takes the writes whose deadline has passed.
func (b *Tracker) Expire(now time.Time) []Key {
	return b.take(func(w Write) bool { return !now.Before(w.Deadline) })
}

// Remove drops a write whose owner waits no more.
func (b *Tracker) Remove(key Key) {
	b.take(func(w Write) bool { return w.Key == key })
}

// Confirmed returns the position up to which a majority holds the log.
func (b *Tracker) Confirmed() ctposition.Position {
	needed := b.GroupSize / 2
	if needed == 0 {
		return ^ctposition.Position(0)
	}
	positions := make([]ctposition.Position, 0, len(b.received))
	for _, p := range b.received {
		positions = append(positions, p)
	}
	if len(positions) < needed {
		return 0
	}
	slices.SortFunc(positions, func(x, y ctposition.Position) int { return cmp.Compare(y, x) })
	return positions[needed-1]
}

// HighestPending returns the highest position that a write waits for.
func (b *Tracker) HighestPending() (ctposition.Point, bool) {
	if len(b.waiting) == 0 {
		return ctposition.Point{}, false
	}
	highest := b.waiting[0].Position
	for _, w := range b.waiting {
		highest = max(highest, w.Position)
	}
	return ctposition.Point{Term: b.term, Position: highest}, true
}

func (b *Tracker) take(match func(w Write) bool) []Key {
	var keys []Key
	b.waiting = slices.DeleteFunc(b.waiting, func(w Write) bool {
		if !match(w) {
			return false
		}
		keys = append(keys, w.Key)
		return true
	})
	return keys
}
