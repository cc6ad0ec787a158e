package ctmembers

import "github.com/cherviltrestle/cherviltrestle/internal/model/ctid"

// answerHold holds back one answer.
type answerHold struct {
	// ran is closed once the query has run, and released when the answer may be sent.
	ran, released chan struct{}
}

// DropAnswers makes the answers to the next count queries get lost, though the
// queries run. Status queries and queries without an ID are not counted.
func (g *Group) DropAnswers(count int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.answersToDrop = count
}

// HoldAnswer holds back the answer to the next query until release is called. The
// returned channel is closed once that query has run. Queries without an ID don't count.
func (g *Group) HoldAnswer() (ran <-chan struct{}, release func()) {
	hold := &answerHold{ran: make(chan struct{}), released: make(chan struct{})}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.hold = hold
	return hold.ran, func() { close(hold.released) }
}

// awaitRelease waits if the answer to a query that has run is to be held back.
func (g *Group) awaitRelease(closed <-chan struct{}) {
	g.mutex.Lock()
	hold := g.hold
	g.hold = nil
	g.mutex.Unlock()
	if hold == nil {
		return
	}
	close(hold.ran)
	select {
	case <-hold.released:
	case <-closed:
	}
}

// LoseNames makes the next executions of prepared statements fail, as after a member has lost
// a connection's prepared statements.
func (g *Group) LoseNames(count int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.namesToLose = count
}

// losesNextName reports whether an execution finds no prepared statement.
func (g *Group) losesNextName() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.namesToLose == 0 {
		return false
	}
	g.namesToLose--
	return true
}

// FailReads makes a member fail its reads, though it answers all else. An empty name ends it.
func (g *Group) FailReads(name ctid.Member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.failing = name
}

// failsReads reports whether a member fails its reads.
func (g *Group) failsReads(m *member) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.failing == m.name
}

// dropNextAnswer reports whether the next answer is to be lost, and counts it if so.
func (g *Group) dropNextAnswer() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.answersToDrop == 0 {
		return false
	}
	g.answersToDrop--
	return true
}
