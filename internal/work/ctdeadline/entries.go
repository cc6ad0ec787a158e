package ctdeadline

import "time"

// entry is a key with its deadline and its index in the heap.
type entry[K comparable] struct {
	key      K
	deadline time.Time
	index    int
}

// entryHeap implements heap.Interface; the entry with the first deadline is on top.
type entryHeap[K comparable] []*entry[K]

func (e entryHeap[K]) Len() int {
	return len(e)
}

func (e entryHeap[K]) Less(i, j int) bool {
	return e[i].deadline.Before(e[j].deadline)
}

func (e entryHeap[K]) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index = i
	e[j].index = j
}

// Push appends an entry. It is called by package heap.
func (e *entryHeap[K]) Push(value any) {
	added, ok := value.(*entry[K])
	if !ok {
		return
	}
	added.index = len(*e)
	*e = append(*e, added)
}

// Pop removes and returns the last entry. It is called by package heap.
func (e *entryHeap[K]) Pop() any {
	last := len(*e) - 1
	removed := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return removed
}
