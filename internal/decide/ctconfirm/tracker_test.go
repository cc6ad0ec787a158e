package ctconfirm_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctconfirm"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

var epoch = time.Unix(0, 0)

// newTracker returns the tracker of a group of size members, in term 1.
func newTracker(size int) *ctconfirm.Tracker {
	tracker := &ctconfirm.Tracker{GroupSize: size}
	tracker.BeginTerm(1)
	return tracker
}

// newWrite returns a write with key 1 at position 64.
func newWrite() ctconfirm.Write {
	return ctconfirm.Write{Key: 1, Position: 64, Deadline: epoch.Add(time.Second)}
}

func pointAt(position ctposition.Position) ctposition.Point {
	return ctposition.Point{Term: 1, Position: position}
}

func TestTracker(t *testing.T) {
	t.Run("confirms a write that a majority has received", func(t *testing.T) {
		tracker := newTracker(3)
		assert.Assert(t, !tracker.Add(newWrite()))
		assert.Equal(t, len(tracker.RecordReceived("b", pointAt(63))), 0)
		assert.DeepEqual(t, tracker.RecordReceived("c", pointAt(64)), []ctconfirm.Key{1})
	})
	t.Run("needs two replicas in a group of five members", func(t *testing.T) {
		tracker := newTracker(5)
		tracker.Add(newWrite())
		assert.Equal(t, len(tracker.RecordReceived("b", pointAt(64))), 0)
		assert.DeepEqual(t, tracker.RecordReceived("c", pointAt(64)), []ctconfirm.Key{1})
	})
	t.Run("confirms at once in a group without replicas", func(t *testing.T) {
		assert.Assert(t, newTracker(1).Add(newWrite()))
	})
	t.Run("ignores positions of an earlier term", func(t *testing.T) {
		tracker := newTracker(3)
		tracker.RecordReceived("b", pointAt(640))
		tracker.BeginTerm(2)
		assert.Assert(t, !tracker.Add(newWrite()))
		assert.Equal(t, len(tracker.RecordReceived("b", pointAt(640))), 0)
	})
	t.Run("returns waiting writes when their term ends", func(t *testing.T) {
		tracker := newTracker(3)
		tracker.Add(newWrite())
		assert.DeepEqual(t, tracker.BeginTerm(2), []ctconfirm.Key{1})
	})
	t.Run("returns writes that waited past their deadline", func(t *testing.T) {
		tracker := newTracker(3)
		tracker.Add(newWrite())
		assert.Equal(t, len(tracker.Expire(epoch)), 0)
		assert.DeepEqual(t, tracker.Expire(epoch.Add(time.Second)), []ctconfirm.Key{1})
	})
}
