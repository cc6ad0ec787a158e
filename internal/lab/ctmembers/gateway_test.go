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
				answer, _ := c.call(t, ctquery.Write{Arguments: c.name + " " + data})
				assert.Check(t, answer.OK(), "%s", answer.Text)
				answer, _ = c.call(t, ctquery.Read{Item: c.name})
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
				c.call(t, ctquery.Write{Arguments: c.name + " inside"})
				answer, _ := c.call(t, ctquery.Read{Item: c.name})
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
				answer, _ := c.call(t, ctquery.Execute{Name: "s1", Arguments: c.name + " x"})
				assert.Check(t, answer.OK(), "%s", answer.Text)
				answer, _ = c.call(t, ctquery.Execute{Name: "s2", Arguments: c.name})
				assert.Check(t, answer.OK() && answer.Rows[0] == "x", "%+v", answer)
			}
		})
		assertNoViolations(t, f)
	})
}

// assertRefused checks what a caller of a database is told at the start.
func assertRefused(t *testing.T, f *fixture, database ctid.Database, want ctquery.Fault) {
	t.Helper()
	c := newCaller("r", database)
	f.callers <- c
	f.gateway.ServeConn(nil)
	select {
	case fault := <-c.startupFaults:
		assert.Equal(t, fault, want)
	case <-time.After(testTimeout):
		t.Fatal("the caller is not refused")
	}
}

// TestOutdatedConfig names the pattern of a configuration that reaches a proxy late: it must
// not act on the older one.
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
	t.Run("a database without a route is not denied", func(t *testing.T) {
		assertRefused(t, f, "unknown", ctquery.FaultBusy)
	})
	t.Run("callers are sent elsewhere", func(t *testing.T) {
		assert.Assert(t, !f.gateway.Ready(&held))
	})
	t.Run("all is served again once it has come", func(t *testing.T) {
		f.state.SetConfigOutdated(&held, false)
		answer, _ := c.call(t, ctquery.Read{Item: "i"})
		assert.Assert(t, answer.OK())
	})
}

// TestDrain names the pattern of a planned stop to which callers still come.
func TestDrain(t *testing.T) {
	t.Run("sessions that begin meanwhile are counted", func(t *testing.T) {
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
	t.Run("a session at work is waited for", func(t *testing.T) {
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

func TestLostAnswers(t *testing.T) {
	f := newFixture(t, smallGroup, ctconfig.FreshnessSession)
	var outcomes writeOutcomes
	f.runConcurrently(t, 6, func(c *caller) {
		for i := range 6 {
			if i == 2 {
				f.group.DropAnswers(3)
			}
			answer, id := c.call(t, ctquery.Write{Arguments: c.name + " x"})
			outcomes.record(id, answer.Fault)
			c.call(t, ctquery.Read{Item: c.name})
		}
	})
	assertNoViolations(t, f)
	assertOutcomes(t, f, &outcomes)
}

// TestFullPrimary names the pattern of a primary that alone can serve, because its
// replicas lag, and is asked more than it has slots for: transactions that are
// refused must not cost it new connections, each of which takes a slot.
func TestFullPrimary(t *testing.T) {
	options := smallGroup
	options.QueueDepth = 2
	options.ConnectDelay = 20 * time.Millisecond
	f := newFixture(t, options, ctconfig.FreshnessPrimary)
	var outcomes writeOutcomes
	f.runConcurrently(t, 40, func(c *caller) {
		for range 8 {
			c.call(t, ctquery.Begin{})
			answer, id := c.call(t, ctquery.Write{Arguments: c.name + " x"})
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
