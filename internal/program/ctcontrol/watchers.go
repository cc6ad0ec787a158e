package ctcontrol

// watchers are calls that wait for a newer view. The zero value has none.
type watchers struct {
	waiting map[chan struct{}]struct{}
}

// add returns a channel that is closed by the next call of wake. The caller removes it if
// it stops waiting before.
func (w *watchers) add() chan struct{} {
	if w.waiting == nil {
		w.waiting = make(map[chan struct{}]struct{})
	}
	woken := make(chan struct{})
	w.waiting[woken] = struct{}{}
	return woken
}

// remove forgets a channel of a call that has stopped waiting.
func (w *watchers) remove(woken chan struct{}) {
	delete(w.waiting, woken)
}

// wake ends the waits of all calls.
func (w *watchers) wake() {
	for woken := range w.waiting {
		close(woken)
	}
	clear(w.waiting)
}
