package ctconfirm_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctconfirm"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

var epoch = time.Unix(0, 0)

// newBoard returns the board of a group in term 1.
func newBoard(size int) *ctconfirm.Tracker {
	b := &ctconfirm.Tracker{GroupSize: size}
	b.BeginTerm(1)
	return b
}

// write is a write at position 64.
func write() ctconfirm.Write {
	return ctconfirm.Write{Key: 1, Position: 64, Deadline: epoch.Add(time.Second)}
}

func at(position ctposition.Position) ctposition.Point {
	return ctposition.Point{Term: 1, Position: position}
}

func TestBoard(t *testing.T) {
	t.Run("confirms a write that a majority has received", func(t *testing.T) {
		b := newBoard(3)
		assert.Assert(t, !b.Add(write()))
		assert.Equal(t, len(b.RecordReceived("b", at(63))), 0)
		assert.DeepEqual(t, b.RecordReceived("c", at(64)), []ctconfirm.Key{1})
	})
	t.Run("needs two replicas of five members", func(t *testing.T) {
		b := newBoard(5)
		b.Add(write())
		assert.Equal(t, len(b.RecordReceived("b", at(64))), 0)
		assert.DeepEqual(t, b.RecordReceived("c", at(64)), []ctconfirm.Key{1})
	})
	t.Run("confirms at once without replicas", func(t *testing.T) {
		assert.Assert(t, newBoard(1).Add(write()))
	})
	t.Run("counts nothing of an earlier term", func(t *testing.T) {
		b := newBoard(3)
		b.RecordReceived("b", at(640))
		b.BeginTerm(2)
		assert.Assert(t, !b.Add(write()))
		assert.Equal(t, len(b.RecordReceived("b", at(640))), 0)
	})
	t.Run("gives up what waits when its term ends", func(t *testing.T) {
		b := newBoard(3)
		b.Add(write())
		assert.DeepEqual(t, b.BeginTerm(2), []ctconfirm.Key{1})
	})
	t.Run("gives up what waited past its deadline", func(t *testing.T) {
		b := newBoard(3)
		b.Add(write())
		assert.Equal(t, len(b.Expire(epoch)), 0)
		assert.DeepEqual(t, b.Expire(epoch.Add(time.Second)), []ctconfirm.Key{1})
	})
}
