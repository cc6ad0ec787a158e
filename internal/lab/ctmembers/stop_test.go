package ctmembers_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctgateway"
)

// stop begins a planned stop in which the time of transactions is over at once, and that of
// answers after a while. The returned channel receives whether all sessions ended by
// themselves.
func (f *fixture) stop(answers time.Duration) <-chan bool {
	now := f.clock.Now()
	stopped := make(chan bool, 1)
	go func() {
		stopped <- f.gateway.Stop(context.Background(), ctgateway.StopTimes{
			Transactions: now, Answers: now.Add(answers), Delivery: now.Add(answers + testTimeout),
		})
	}()
	return stopped
}

// awaitEnd waits until the caller's session has ended.
func (c *caller) awaitEnd(t *testing.T) {
	t.Helper()
	select {
	case <-c.closed:
	case <-time.After(testTimeout):
		t.Fatal("the session did not end")
	}
}

// assertAnsweredInStop checks the fault that a query gets whose member does not answer
// until the planned stop abandons it, and that its session then ends.
func assertAnsweredInStop(t *testing.T, f *fixture, c *caller, statement ctquery.Statement, want ctquery.Fault) {
	t.Helper()
	ran, release := f.group.HoldAnswer()
	defer release()
	id := c.send(statement)
	<-ran
	stopped := f.stop(0)
	assert.Equal(t, c.awaitAnswer(t, id).Fault, want)
	c.awaitEnd(t)
	assert.Assert(t, !<-stopped)
	assertNoViolations(t, f)
}

// TestPlannedStop guards against queries that a stopping proxy has read and passed on, and
// whose connections it then closes without an answer (review/3, rule LOST).
func TestPlannedStop(t *testing.T) {
	forEachWay(t, "answers a running statement of a transaction", func(t *testing.T, w way) {
		f := newFixtureWith(t, w, smallGroup, ctconfig.FreshnessPrimary)
		c, _ := beginWrite(t, f)
		assertAnsweredInStop(t, f, c, ctquery.Read{Item: "i"}, ctquery.FaultAborted)
	})
	forEachWay(t, "answers a running COMMIT", func(t *testing.T, w way) {
		f := newFixtureWith(t, w, smallGroup, ctconfig.FreshnessPrimary)
		c, _ := beginWrite(t, f)
		assertAnsweredInStop(t, f, c, ctquery.Commit{}, ctquery.FaultOutcomeUnknown)
	})
	forEachWay(t, "answers a running write", func(t *testing.T, w way) {
		f := newFixtureWith(t, w, smallGroup, ctconfig.FreshnessPrimary)
		assertAnsweredInStop(t, f, f.connect(t, "c"), ctquery.Write{Arguments: "i d"}, ctquery.FaultOutcomeUnknown)
	})
	forEachWay(t, "answers a running read", func(t *testing.T, w way) {
		f := newFixtureWith(t, w, smallGroup, ctconfig.FreshnessPrimary)
		assertAnsweredInStop(t, f, f.connect(t, "c"), ctquery.Read{Item: "i"}, ctquery.FaultBusy)
	})
	forEachWay(t, "refuses the next statement of a transaction whose time is over", func(t *testing.T, w way) {
		f := newFixtureWith(t, w, smallGroup, ctconfig.FreshnessPrimary)
		c, write := beginWrite(t, f)
		f.stop(testTimeout)
		f.awaitTransactionsEnding(t)
		answer, _ := c.call(t, ctquery.Read{Item: "i"})
		assert.Equal(t, answer.Fault, ctquery.FaultAborted)
		assert.Equal(t, answer.Transaction, ctquery.TransactionFailed)
		answer, _ = c.call(t, ctquery.Rollback{})
		assert.Assert(t, answer.OK())
		c.awaitEnd(t)
		assert.Equal(t, f.group.WriteCounts()[write], 0)
	})
	forEachWay(t, "commits a transaction whose time is over", func(t *testing.T, w way) {
		f := newFixtureWith(t, w, smallGroup, ctconfig.FreshnessPrimary)
		c, write := beginWrite(t, f)
		f.stop(testTimeout)
		f.awaitTransactionsEnding(t)
		answer, _ := c.call(t, ctquery.Commit{})
		assert.Assert(t, answer.OK(), "%s", answer.Text)
		c.awaitEnd(t)
		assert.Equal(t, f.group.WriteCounts()[write], 1)
	})
	t.Run("ends the session of an idle transaction", func(t *testing.T) {
		f := newFixture(t, smallGroup, ctconfig.FreshnessPrimary)
		c, _ := beginWrite(t, f)
		stopped := f.stop(0)
		c.awaitEnd(t)
		assert.Assert(t, !<-stopped)
	})
	t.Run("refuses a statement that waits for a connection", func(t *testing.T) {
		options := smallGroup
		options.Connections = 5
		f := newFixture(t, options, ctconfig.FreshnessPrimary)
		beginWrite(t, f)
		waiting := f.connect(t, "w")
		id := waiting.send(ctquery.Write{Arguments: "i d"})
		f.stop(0)
		assert.Equal(t, waiting.awaitAnswer(t, id).Fault, ctquery.FaultBusy)
		assert.Equal(t, f.group.WriteCounts()[id], 0)
	})
}

// awaitTransactionsEnding waits until the planned stop refuses statements of transactions.
func (f *fixture) awaitTransactionsEnding(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !f.pools.Stop.TransactionsEnding(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
}

// TestPlannedStopOfCarrier guards against queries that a stopping proxy runs for another
// one, which then learns of the lost connection alone.
func TestPlannedStopOfCarrier(t *testing.T) {
	begin := func(t *testing.T) (f *fixture, c *caller, write ctquery.ID) {
		f = newFixtureWith(t, forwarded, smallGroup, ctconfig.FreshnessPrimary)
		c, write = beginWrite(t, f)
		f.carrier.NotifyStopping()
		f.carrier.Stop.EndTransactions()
		return f, c, write
	}
	t.Run("refuses the next statement of a transaction whose time is over", func(t *testing.T) {
		f, c, write := begin(t)
		answer, _ := c.call(t, ctquery.Read{Item: "i"})
		assert.Equal(t, answer.Fault, ctquery.FaultAborted)
		assert.Equal(t, answer.Transaction, ctquery.TransactionFailed)
		assert.Equal(t, f.carrier.ForwardedConnections(), 0)
		assert.Equal(t, f.group.WriteCounts()[write], 0)
	})
	t.Run("commits a transaction whose time is over", func(t *testing.T) {
		f, c, write := begin(t)
		answer, _ := c.call(t, ctquery.Commit{})
		assert.Assert(t, answer.OK(), "%s", answer.Text)
		assert.Equal(t, f.group.WriteCounts()[write], 1)
	})
	t.Run("answers a running COMMIT", func(t *testing.T) {
		f, c, _ := begin(t)
		ran, release := f.group.HoldAnswer()
		defer release()
		id := c.send(ctquery.Commit{})
		<-ran
		assert.Equal(t, f.carrier.AnsweringForwarded(), 1)
		f.carrier.Stop.AbandonQueries()
		assert.Equal(t, c.awaitAnswer(t, id).Fault, ctquery.FaultOutcomeUnknown)
	})
	t.Run("sends no COMMIT once queries are abandoned", func(t *testing.T) {
		f, c, write := begin(t)
		f.carrier.Stop.AbandonQueries()
		answer, _ := c.call(t, ctquery.Commit{})
		assert.Equal(t, answer.Fault, ctquery.FaultAborted)
		assert.Equal(t, f.group.WriteCounts()[write], 0)
	})
}
