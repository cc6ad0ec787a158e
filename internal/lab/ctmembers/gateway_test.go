package ctmembers_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmembers"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

func TestSessions(t *testing.T) {
	t.Run("see their own writes though replicas lag", func(t *testing.T) {
		options := smallGroup
		options.LagEntries = 3
		f := newFixture(t, options, ctconfig.FreshnessSession)
		f.runConcurrently(t, 8, func(c *caller) {
			for i := range 20 {
				data := fmt.Sprintf("%s.%d", c.name, i)
				answer, _ := c.call(t, ctquery.Write{Arguments: ctquery.Text(c.name + " " + data)})
				assert.Check(t, answer.OK(), "%s", answer.Text)
				answer, _ = c.call(t, ctquery.Read{Item: ctquery.Text(c.name)})
				assert.Check(t, answer.OK() && answer.Rows[0] == data, "%+v, want %s", answer, data)
			}
		})
		assertNoViolations(t, f)
	})
	t.Run("keep transactions apart", func(t *testing.T) {
		f := newFixture(t, smallGroup, ctconfig.FreshnessPrimary)
		f.runConcurrently(t, 12, func(c *caller) {
			for i := range 10 {
				c.call(t, ctquery.Begin{})
				c.call(t, ctquery.Write{Arguments: ctquery.Text(c.name + " inside")})
				answer, _ := c.call(t, ctquery.Read{Item: ctquery.Text(c.name)})
				assert.Check(t, answer.OK() && answer.Rows[0] == "inside", "%+v", answer)
				if i%2 == 0 {
					c.call(t, ctquery.Rollback{})
				} else {
					answer, _ = c.call(t, ctquery.Commit{})
					assert.Check(t, answer.OK(), "%s", answer.Text)
				}
			}
		})
		assertNoViolations(t, f)
		for id, count := range f.group.WriteCounts() {
			assert.Equal(t, count, 1, "%s", id)
		}
	})
	t.Run("use prepared statements on any connection", func(t *testing.T) {
		f := newFixture(t, smallGroup, ctconfig.FreshnessPrimary)
		f.runConcurrently(t, 8, func(c *caller) {
			c.call(t, ctquery.Prepare{Name: "s1", Shape: ctquery.Shape{Writes: true, Text: "w"}})
			c.call(t, ctquery.Prepare{Name: "s2", Shape: ctquery.Shape{Text: "r"}})
			for range 10 {
				answer, _ := c.call(t, ctquery.Execute{Name: "s1", Arguments: ctquery.Text(c.name + " x")})
				assert.Check(t, answer.OK(), "%s", answer.Text)
				answer, _ = c.call(t, ctquery.Execute{Name: "s2", Arguments: ctquery.Text(c.name)})
				assert.Check(t, answer.OK() && answer.Rows[0] == "x", "%+v", answer)
			}
		})
		assertNoViolations(t, f)
	})
}

// assertRefused checks that a new caller of the database is refused with the fault.
func assertRefused(t *testing.T, f *fixture, database ctid.Database, want ctquery.Fault) {
	t.Helper()
	c := newCaller("r", database)
	f.callers <- c
	f.gateway.ServeConn(nil)
	select {
	case fault := <-c.startupFaults:
		assert.Equal(t, fault, want)
	case <-time.After(testTimeout):
		t.Fatal("the caller was not refused in time")
	}
}

// TestOutdatedConfig tests a proxy that a new configuration has not reached yet. It
// must not act on the old one.
func TestOutdatedConfig(t *testing.T) {
	f := newFixture(t, smallGroup, ctconfig.FreshnessBounded)
	c := f.connect(t, "c")
	answer, _ := c.call(t, ctquery.Read{Item: "i"})
	assert.Assert(t, answer.OK())
	assertRefused(t, f, "unknown", ctquery.FaultNoDatabase)
	var held ctlock.Held
	f.state.SetConfigOutdated(&held, true)
	t.Run("statements are refused at once", func(t *testing.T) {
		answer, _ := c.call(t, ctquery.Read{Item: "i"})
		assert.Equal(t, answer.Fault, ctquery.FaultBusy)
	})
	t.Run("an unknown database is refused as busy, because the new configuration may have it", func(t *testing.T) {
		assertRefused(t, f, "unknown", ctquery.FaultBusy)
	})
	t.Run("the gateway reports that it is not ready", func(t *testing.T) {
		assert.Assert(t, !f.gateway.Ready(&held))
	})
	t.Run("statements are served again once the configuration has arrived", func(t *testing.T) {
		f.state.SetConfigOutdated(&held, false)
		answer, _ := c.call(t, ctquery.Read{Item: "i"})
		assert.Assert(t, answer.OK())
	})
}

// TestDrain tests a planned stop during which callers still connect.
func TestDrain(t *testing.T) {
	t.Run("draining covers sessions that start meanwhile", func(t *testing.T) {
		const stops = 20
		for range stops {
			f := newFixture(t, smallGroup, ctconfig.FreshnessPrimary)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			drained := make(chan bool, 1)
			go func() { drained <- f.gateway.Drain(ctx) }()
			f.callers <- newCaller("c", "db")
			f.gateway.ServeConn(nil)
			assert.Assert(t, <-drained)
			cancel()
		}
	})
	t.Run("a query that arrives as its session is about to end is answered", func(t *testing.T) {
		f := newFixture(t, smallGroup, ctconfig.FreshnessPrimary)
		c := newCaller("c", "db")
		c.interruptedFirst = true
		c.queries = make(chan ctquery.Query, 1)
		f.callers <- c
		f.gateway.ServeConn(nil)
		c.queries <- ctquery.Query{ID: "c-1", Statement: ctquery.Set{Name: "owner", Value: "c"}}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		drained := make(chan bool, 1)
		go func() { drained <- f.gateway.Drain(ctx) }()
		select {
		case answer := <-c.answers:
			assert.Assert(t, answer.OK())
		case <-c.closed:
			t.Fatal("the session ended without an answer")
		}
		assert.Assert(t, <-drained)
	})
	t.Run("draining waits for an open transaction", func(t *testing.T) {
		f := newFixture(t, smallGroup, ctconfig.FreshnessPrimary)
		c := f.connect(t, "c")
		c.call(t, ctquery.Begin{})
		c.call(t, ctquery.Write{Arguments: "i d"})
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		drained := make(chan bool, 1)
		go func() { drained <- f.gateway.Drain(ctx) }()
		answer, _ := c.call(t, ctquery.Commit{})
		assert.Assert(t, answer.OK())
		assert.Assert(t, <-drained)
	})
}

// TestLostAnswers tests that callers get the right outcome of their writes when
// answers from the member get lost.
func TestLostAnswers(t *testing.T) {
	f := newFixture(t, smallGroup, ctconfig.FreshnessSession)
	var outcomes writeOutcomes
	f.runConcurrently(t, 6, func(c *caller) {
		for i := range 6 {
			if i == 2 {
				f.group.DropAnswers(3)
			}
			answer, id := c.call(t, ctquery.Write{Arguments: ctquery.Text(c.name + " x")})
			outcomes.record(id, answer.Fault)
			c.call(t, ctquery.Read{Item: ctquery.Text(c.name)})
		}
	})
	assertNoViolations(t, f)
	assertOutcomes(t, f, &outcomes)
}

// TestFullPrimary tests a primary that gets more statements than it has slots, for
// example because its replicas lag and can't serve any. A refused transaction must
// not lead to a new connection, because opening one occupies a slot, too.
func TestFullPrimary(t *testing.T) {
	options := smallGroup
	options.QueueDepth = 2
	options.ConnectDelay = 20 * time.Millisecond
	f := newFixture(t, options, ctconfig.FreshnessPrimary)
	var outcomes writeOutcomes
	f.runConcurrently(t, 40, func(c *caller) {
		for range 8 {
			c.call(t, ctquery.Begin{})
			answer, id := c.call(t, ctquery.Write{Arguments: ctquery.Text(c.name + " x")})
			if !answer.OK() {
				outcomes.record(id, answer.Fault)
				c.call(t, ctquery.Rollback{})
				continue
			}
			answer, _ = c.call(t, ctquery.Commit{})
			outcomes.record(id, answer.Fault)
		}
	})
	assertNoViolations(t, f)
	assertOutcomes(t, f, &outcomes)
	opened := f.group.DialCount(ctmembers.MemberName(0))
	assert.Assert(t, opened <= options.Connections, "%d connections were opened", opened)
}
