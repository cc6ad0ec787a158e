package ctsoak

import (
	"testing"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

// stopFixture is a session at a proxy that was asked to stop some time ago.
type stopFixture struct {
	*fixture
	proxy   *host
	session *callerSession
}

func newStopFixture(stopped time.Duration) *stopFixture {
	f := newFixture()
	proxy := &host{Host: Host{KindProxy, 0}, lastStop: time.Now().Add(-stopped)}
	c := &caller{name: "c", fleet: &Fleet{checker: f.checker}, group: f.group}
	return &stopFixture{fixture: f, proxy: proxy, session: &callerSession{caller: c, name: "c.1", proxy: proxy}}
}

// errClosed is what a caller sees when a proxy closes its connection.
var errClosed = errSessionEnded

// assertClosed checks which invariants a closed connection violates, whose statement was sent some
// time ago and ran at a member or not.
func (f *stopFixture) assertClosed(t *testing.T, elapsed time.Duration, ran bool, want ...Invariant) {
	t.Helper()
	q := queryOf("x", ctpeer.Read{Item: "i"})
	tx := &Transaction{group: groupName, session: "c.1"}
	f.checker.recordSent(q.ID, q.Statement, tx, ctpeer.Shape{}, ReadRequirement{})
	if ran {
		f.fixture.session(0, "c.1").run(q)
	}
	f.session.checkUnanswered(q.ID, time.Now().Add(-elapsed), errClosed)
	f.assertViolations(t, want...)
}

// TestLostStatement covers statements that a proxy has read and doesn't answer when it stops.
func TestLostStatement(t *testing.T) {
	t.Run("a member ran it", func(t *testing.T) {
		newStopFixture(time.Second).assertClosed(t, 0, true, InvariantTimelyAnswer)
	})
	t.Run("it was sent long ago", func(t *testing.T) {
		newStopFixture(time.Second).assertClosed(t, 2*lossSlack, false, InvariantTimelyAnswer)
	})
	t.Run("it may have arrived too late", func(t *testing.T) {
		newStopFixture(time.Second).assertClosed(t, lossSlack/2, false)
	})
	t.Run("it has used its time", func(t *testing.T) {
		newStopFixture(time.Second).assertClosed(t, statementTimeout, true)
	})
	t.Run("the proxy had a fault", func(t *testing.T) {
		f := newStopFixture(time.Second)
		f.proxy.recordFault()
		f.assertClosed(t, 0, true)
	})
	t.Run("there was a fault elsewhere", func(t *testing.T) {
		f := newStopFixture(time.Second)
		f.session.fleet.beginUnplannedFault()()
		f.assertClosed(t, 0, true)
	})
}

// assertAborted checks which invariants an aborted transaction violates that began some time ago.
func (f *stopFixture) assertAborted(t *testing.T, age time.Duration, want ...Invariant) {
	t.Helper()
	tx := &Transaction{group: groupName, explicit: true, startedAt: time.Now().Add(-age)}
	_ = f.session.handleRefusal(ctpeer.Answer{Fault: ctquery.FaultAborted}, tx)
	f.assertViolations(t, want...)
}

// TestAbortedTransaction covers transactions that a proxy aborts too early when it stops.
func TestAbortedTransaction(t *testing.T) {
	t.Run("open at the stop", func(t *testing.T) {
		newStopFixture(time.Second).assertAborted(t, 2*time.Second, InvariantDrain)
	})
	t.Run("begun after the stop", func(t *testing.T) {
		newStopFixture(2*time.Second).assertAborted(t, time.Second)
	})
	t.Run("in the second half of the stop", func(t *testing.T) {
		newStopFixture(stopTimeout/2).assertAborted(t, stopTimeout)
	})
	t.Run("a fault elsewhere", func(t *testing.T) {
		f := newStopFixture(time.Second)
		f.session.fleet.beginUnplannedFault()()
		f.assertAborted(t, 2*time.Second)
	})
}

// assertReady checks which invariants a proxy violates that answers probes some time after it was
// asked to stop.
func assertReady(t *testing.T, stopped time.Duration, probes []bool, want ...Invariant) {
	t.Helper()
	f := newStopFixture(stopped)
	b := &balancer{checker: f.checker}
	for _, ready := range probes {
		b.recordProbe(f.proxy, ready)
	}
	f.assertViolations(t, want...)
}

// TestReadyWhileStopping covers proxies that get new connections while they stop.
func TestReadyWhileStopping(t *testing.T) {
	t.Run("soon after", func(t *testing.T) { assertReady(t, unreadyTimeout/2, []bool{true}) })
	t.Run("late", func(t *testing.T) { assertReady(t, unreadyTimeout, []bool{true}, InvariantDrain) })
	t.Run("one miss", func(t *testing.T) { assertReady(t, unreadyTimeout, []bool{false}, InvariantDrain) })
	t.Run("two misses, soon enough", func(t *testing.T) { assertReady(t, unreadyTimeout/2, []bool{false, false}) })
}
