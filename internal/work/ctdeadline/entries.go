package ctdeadline

import "time"

// entry is a key with its deadline and its place in the heap.
type entry[K comparable] struct {
	key   K
	at    time.Time
	index int
}

// entries implements heap.Interface by deadline.
type entries[K comparable] []*entry[K]

func (e entries[K]) Len() int {
	return len(e)
}

func (e entries[K]) Less(i, j int) bool {
	return e[i].at.Before(e[j].at)
}

func (e entries[K]) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index = i
	e[j].index = j
}

// Push appends an entry.
func (e *entries[K]) Push(value any) {
	added, ok := value.(*entry[K])
	if !ok {
		return
	}
	added.index = len(*e)
	*e = append(*e, added)
}

// Pop removes the last entry.
func (e *entries[K]) Pop() any {
	last := len(*e) - 1
	removed := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return removed
}
