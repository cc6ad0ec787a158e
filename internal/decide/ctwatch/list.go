package ctwatch

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Key names an entry for its owner.
type Key uint64

// Waiter waits for a member to reach a point.
type Waiter struct {
	Key   Key
	Point ctposition.Point
	// ReceivedSuffices reports whether it is enough that the member has received the
	// point; otherwise its reads must show it.
	ReceivedSuffices bool
	// Deadline ends the wait; zero waits until the point is reached.
	Deadline time.Time
}

// Waiters holds the entries of one member. Its zero value is empty.
type Waiters struct {
	entries []Waiter
}

// Add adds an entry.
func (l *Waiters) Add(entry Waiter) {
	l.entries = append(l.entries, entry)
}

// Remove drops the entries of a key.
func (l *Waiters) Remove(key Key) {
	l.entries = slices.DeleteFunc(l.entries, func(e Waiter) bool { return e.Key == key })
}

// Len returns the number of entries.
func (l *Waiters) Len() int {
	return len(l.entries)
}

// RecordStatus takes the entries that the status covers and returns their keys.
func (l *Waiters) RecordStatus(status ctserver.Status, history ctposition.History) []Key {
	return l.take(func(e Waiter) bool {
		if e.ReceivedSuffices {
			return history.Covers(status.Received, e.Point)
		}
		return history.Covers(status.Applied, e.Point)
	})
}

// Expire takes the entries whose deadline has passed and returns their keys.
func (l *Waiters) Expire(now time.Time) []Key {
	return l.take(func(e Waiter) bool { return !e.Deadline.IsZero() && !now.Before(e.Deadline) })
}

func (l *Waiters) take(match func(e Waiter) bool) []Key {
	var keys []Key
	l.entries = slices.DeleteFunc(l.entries, func(e Waiter) bool {
		if !match(e) {
			return false
		}
		keys = append(keys, e.Key)
		return true
	})
	return keys
}
