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
	waiters []Waiter
}

// Add adds an entry.
func (w *Waiters) Add(waiter Waiter) {
	w.waiters = append(w.waiters, waiter)
}

// Remove drops the entries of a key.
func (w *Waiters) Remove(key Key) {
	w.waiters = slices.DeleteFunc(w.waiters, func(waiter Waiter) bool { return waiter.Key == key })
}

// Len returns the number of entries.
func (w *Waiters) Len() int {
	return len(w.waiters)
}

// RecordStatus takes the entries that the status covers and returns their keys.
func (w *Waiters) RecordStatus(status ctserver.Status, history ctposition.History) []Key {
	return w.removeMatching(func(waiter Waiter) bool {
		if waiter.ReceivedSuffices {
			return history.Covers(status.Received, waiter.Point)
		}
		return history.Covers(status.Applied, waiter.Point)
	})
}

// Expire takes the entries whose deadline has passed and returns their keys.
func (w *Waiters) Expire(now time.Time) []Key {
	return w.removeMatching(func(waiter Waiter) bool { return !waiter.Deadline.IsZero() && !now.Before(waiter.Deadline) })
}

func (w *Waiters) removeMatching(match func(waiter Waiter) bool) []Key {
	var keys []Key
	w.waiters = slices.DeleteFunc(w.waiters, func(waiter Waiter) bool {
		if !match(waiter) {
			return false
		}
		keys = append(keys, waiter.Key)
		return true
	})
	return keys
}
