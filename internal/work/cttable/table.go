package cttable

import (
	"sync"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Table is a shared table whose lock has a rank in the lock order. Set Rank before
// first use.
type Table[K comparable, V any] struct {
	Rank ctlock.Rank

	once  sync.Once
	mutex ctlock.Mutex
	rows  map[K]*V
}

// With locks the table, runs action on its rows and unlocks it. The rows must not be
// used after action has returned. It panics as ctlock.Mutex.Lock does.
func (t *Table[K, V]) With(h *ctlock.Held, action func(rows map[K]*V)) {
	t.once.Do(t.setUp)
	t.mutex.Lock(h)
	defer t.mutex.Unlock(h)
	action(t.rows)
}

func (t *Table[K, V]) setUp() {
	t.mutex.Rank = t.Rank
	t.rows = make(map[K]*V)
}

// Cell is a shared value whose lock has a rank in the lock order. Set Rank before
// first use.
type Cell[V any] struct {
	Rank ctlock.Rank

	once  sync.Once
	mutex ctlock.Mutex
	value V
}

// With locks the cell, runs action on its value and unlocks it. The pointer must not
// be used after action has returned. It panics as ctlock.Mutex.Lock does.
func (c *Cell[V]) With(h *ctlock.Held, action func(value *V)) {
	c.once.Do(c.setUp)
	c.mutex.Lock(h)
	defer c.mutex.Unlock(h)
	action(&c.value)
}

// Get locks the cell and returns a shallow copy of the value.
func (c *Cell[V]) Get(h *ctlock.Held) V {
	var value V
	c.With(h, func(v *V) { value = *v })
	return value
}

func (c *Cell[V]) setUp() {
	c.mutex.Rank = c.Rank
}
