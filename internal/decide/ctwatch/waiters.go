package ctwatch

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// WaiterKey identifies a waiter. The caller of Add chooses it.
type WaiterKey uint64

// Waiter waits for a member to reach a point.
type Waiter struct {
	Key   WaiterKey
	Point ctposition.Point
	// ReceivedSuffices reports whether the member need only have received the point.
	// Otherwise it must have applied it.
	ReceivedSuffices bool
	// Deadline ends the wait; a zero Deadline never expires.
	Deadline time.Time
}

// Waiters stores the waiters of one member. Its zero value is empty.
type Waiters struct {
	waiters []Waiter
}

// Add adds a waiter.
func (w *Waiters) Add(waiter Waiter) {
	w.waiters = append(w.waiters, waiter)
}

// Remove removes the waiters with the key.
func (w *Waiters) Remove(key WaiterKey) {
	w.waiters = slices.DeleteFunc(w.waiters, func(waiter Waiter) bool { return waiter.Key == key })
}

// Len returns the number of waiters.
func (w *Waiters) Len() int {
	return len(w.waiters)
}

// RecordStatus removes the waiters whose point the status covers, and returns their
// keys.
func (w *Waiters) RecordStatus(status ctserver.Status, history ctposition.History) []WaiterKey {
	return w.removeMatching(func(waiter Waiter) bool {
		if waiter.ReceivedSuffices {
			return history.Covers(status.Received, waiter.Point)
		}
		return history.Covers(status.Applied, waiter.Point)
	})
}

// Expire removes the waiters whose deadline has passed, and returns their keys.
func (w *Waiters) Expire(now time.Time) []WaiterKey {
	return w.removeMatching(func(waiter Waiter) bool { return !waiter.Deadline.IsZero() && !now.Before(waiter.Deadline) })
}

// removeMatching removes the waiters for which match is true, and returns their keys.
func (w *Waiters) removeMatching(match func(waiter Waiter) bool) []WaiterKey {
	var keys []WaiterKey
	w.waiters = slices.DeleteFunc(w.waiters, func(waiter Waiter) bool {
		if !match(waiter) {
			return false
		}
		keys = append(keys, waiter.Key)
		return true
	})
	return keys
}
