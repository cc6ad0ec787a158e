package ctwatch

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Key names an entry for its owner.
type Key uint64

// Entry waits for a member to reach a point.
type Entry struct {
	Key   Key
	Point ctposition.Point
	// Received reports whether it is enough that the member has received the
	// point; otherwise its reads must show it.
	Received bool
	// Deadline ends the wait; zero waits until the point is reached.
	Deadline time.Time
}

// List holds the entries of one member. Its zero value is empty.
type List struct {
	entries []Entry
}

// Add adds an entry.
func (l *List) Add(entry Entry) {
	l.entries = append(l.entries, entry)
}

// Remove drops the entries of a key.
func (l *List) Remove(key Key) {
	l.entries = slices.DeleteFunc(l.entries, func(e Entry) bool { return e.Key == key })
}

// Len returns the number of entries.
func (l *List) Len() int {
	return len(l.entries)
}

// Sample takes the entries that the status covers and returns their keys.
func (l *List) Sample(status ctserver.Status, history ctposition.History) []Key {
	return l.take(func(e Entry) bool {
		if e.Received {
			return history.Covers(status.Received, e.Point)
		}
		return history.Covers(status.Applied, e.Point)
	})
}

// Expire takes the entries whose deadline has passed and returns their keys.
func (l *List) Expire(now time.Time) []Key {
	return l.take(func(e Entry) bool { return !e.Deadline.IsZero() && !now.Before(e.Deadline) })
}

func (l *List) take(match func(e Entry) bool) []Key {
	var keys []Key
	l.entries = slices.DeleteFunc(l.entries, func(e Entry) bool {
		if !match(e) {
			return false
		}
		keys = append(keys, e.Key)
		return true
	})
	return keys
}
