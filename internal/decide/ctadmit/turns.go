package ctadmit

import (
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// turns holds the waiting requests of new exchanges. Callers take turns; the
// requests of one caller keep their order.
type turns struct {
	order  []ctid.Caller
	lines  map[ctid.Caller][]waiter
	length int
}

func (t *turns) len() int {
	return t.length
}

func (t *turns) push(w waiter) {
	if t.lines == nil {
		t.lines = make(map[ctid.Caller][]waiter)
	}
	line, ok := t.lines[w.caller]
	if !ok {
		t.order = append(t.order, w.caller)
	}
	t.lines[w.caller] = append(line, w)
	t.length++
}

// pop takes the first request of the caller whose turn it is.
func (t *turns) pop() (waiter, bool) {
	if t.length == 0 {
		return waiter{}, false
	}
	caller := t.order[0]
	t.order = t.order[1:]
	line := t.lines[caller]
	if len(line) > 1 {
		t.lines[caller] = line[1:]
		t.order = append(t.order, caller)
	} else {
		delete(t.lines, caller)
	}
	t.length--
	return line[0], true
}

// removeIf drops the requests that match.
func (t *turns) removeIf(match func(w waiter) bool) {
	for _, caller := range slices.Clone(t.order) {
		line := t.lines[caller]
		kept := slices.DeleteFunc(slices.Clone(line), match)
		t.length -= len(line) - len(kept)
		if len(kept) > 0 {
			t.lines[caller] = kept
			continue
		}
		delete(t.lines, caller)
		t.order = slices.DeleteFunc(t.order, func(c ctid.Caller) bool { return c == caller })
	}
}
