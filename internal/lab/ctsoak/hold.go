package ctsoak

import (
	"context"
	"sync"
	"time"
)

// requestGate holds promotion requests before the service handles them. Its zero value holds none.
// It is safe for concurrent use.
type requestGate struct {
	mutex sync.Mutex
	// holds has the control processes whose requests are held.
	holds map[string]*requestHold
	// lastHold has the times at which the last hold of each process began or ended.
	lastHold map[string]time.Time
	// trap receives the sender of the next request, which is then held. It is nil if the next
	// request is not held.
	trap chan<- string
}

// requestHold is a hold of the requests of one control process.
type requestHold struct {
	// count is how many holds are in progress, and released is closed at the end of the last.
	count    int
	released chan struct{}
}

// hold begins a hold of the requests of a control process.
func (g *requestGate) hold(control string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.holdLocked(control)
}

// holdLocked is hold for callers that have locked the mutex.
func (g *requestGate) holdLocked(control string) {
	if g.holds == nil {
		g.holds, g.lastHold = make(map[string]*requestHold), make(map[string]time.Time)
	}
	h := g.holds[control]
	if h == nil {
		h = &requestHold{released: make(chan struct{})}
		g.holds[control] = h
	}
	h.count++
	g.lastHold[control] = time.Now()
}

// release ends a hold. The requests are handled if it was the last one of the process.
func (g *requestGate) release(control string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	h := g.holds[control]
	g.lastHold[control] = time.Now()
	if h.count--; h.count == 0 {
		close(h.released)
		delete(g.holds, control)
	}
}

// isDisturbed reports whether the requests of a control process are held, or were since a time.
func (g *requestGate) isDisturbed(control string, since time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.holds[control] != nil || g.lastHold[control].After(since)
}

// awaitRelease waits until the requests of a control process are not held. It begins a hold if a
// trap waits for a request.
func (g *requestGate) awaitRelease(control string) {
	g.mutex.Lock()
	if g.trap != nil {
		g.holdLocked(control)
		g.trap <- control
		g.trap = nil
	}
	h := g.holds[control]
	g.mutex.Unlock()
	if h != nil {
		<-h.released
	}
}

// setTrap lets the next request be held and returns a channel that receives its sender, for which
// the caller must call release. It returns nil if a trap is set already.
func (g *requestGate) setTrap() <-chan string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.trap != nil {
		return nil
	}
	sender := make(chan string, 1)
	g.trap = sender
	return sender
}

// awaitSender returns the sender that a trap has received. It clears the trap and returns false if
// none comes within the timeout.
func (g *requestGate) awaitSender(ctx context.Context, sender <-chan string, timeout time.Duration) (string, bool) {
	select {
	case name := <-sender:
		return name, true
	case <-ctx.Done():
	case <-time.After(timeout):
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(sender) > 0 {
		return <-sender, true
	}
	g.trap = nil
	return "", false
}
