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
		options := small
		options.LagEntries = 3
		s := newSite(t, options, ctconfig.FreshnessSession)
		s.together(t, 8, func(c *caller) {
			for i := range 20 {
				data := fmt.Sprintf("%s.%d", c.name, i)
				answer, _ := c.ask(t, ctquery.Write{Arguments: c.name + " " + data})
				assert.Check(t, answer.OK(), "%s", answer.Text)
				answer, _ = c.ask(t, ctquery.Read{Item: c.name})
				assert.Check(t, answer.OK() && answer.Rows[0] == data, "%+v, want %s", answer, data)
			}
		})
		assertNoFaults(t, s)
	})
	t.Run("keep transactions apart", func(t *testing.T) {
		s := newSite(t, small, ctconfig.FreshnessPrimary)
		s.together(t, 12, func(c *caller) {
			for i := range 10 {
				c.ask(t, ctquery.Begin{})
				c.ask(t, ctquery.Write{Arguments: c.name + " inside"})
				answer, _ := c.ask(t, ctquery.Read{Item: c.name})
				assert.Check(t, answer.OK() && answer.Rows[0] == "inside", "%+v", answer)
				if i%2 == 0 {
					c.ask(t, ctquery.Rollback{})
				} else {
					answer, _ = c.ask(t, ctquery.Commit{})
					assert.Check(t, answer.OK(), "%s", answer.Text)
				}
			}
		})
		assertNoFaults(t, s)
		for id, count := range s.group.WriteCounts() {
			assert.Equal(t, count, 1, "%s", id)
		}
	})
	t.Run("use prepared statements on any connection", func(t *testing.T) {
		s := newSite(t, small, ctconfig.FreshnessPrimary)
		s.together(t, 8, func(c *caller) {
			c.ask(t, ctquery.Prepare{Name: "s1", Shape: ctquery.Shape{Writes: true, Text: "w"}})
			c.ask(t, ctquery.Prepare{Name: "s2", Shape: ctquery.Shape{Text: "r"}})
			for range 10 {
				answer, _ := c.ask(t, ctquery.Execute{Name: "s1", Arguments: c.name + " x"})
				assert.Check(t, answer.OK(), "%s", answer.Text)
				answer, _ = c.ask(t, ctquery.Execute{Name: "s2", Arguments: c.name})
				assert.Check(t, answer.OK() && answer.Rows[0] == "x", "%+v", answer)
			}
		})
		assertNoFaults(t, s)
	})
}

// assertRefused checks what a caller of a database is told at the start.
func assertRefused(t *testing.T, s *site, database ctid.Database, want ctquery.Fault) {
	t.Helper()
	c := newCaller("r", database)
	s.callers <- c
	s.gateway.ServeConn(nil)
	select {
	case fault := <-c.refused:
		assert.Equal(t, fault, want)
	case <-time.After(testTime):
		t.Fatal("the caller is not refused")
	}
}

// TestOutdated names the pattern of a configuration that reaches a proxy late: it must
// not act on the older one.
func TestOutdated(t *testing.T) {
	s := newSite(t, small, ctconfig.FreshnessBounded)
	c := s.connect(t, "c")
	answer, _ := c.ask(t, ctquery.Read{Item: "i"})
	assert.Assert(t, answer.OK())
	assertRefused(t, s, "unknown", ctquery.FaultNoDatabase)
	var held ctlock.Held
	s.state.SetConfigOutdated(&held, true)
	t.Run("statements are refused at once", func(t *testing.T) {
		answer, _ := c.ask(t, ctquery.Read{Item: "i"})
		assert.Equal(t, answer.Fault, ctquery.FaultBusy)
	})
	t.Run("a database without a route is not denied", func(t *testing.T) {
		assertRefused(t, s, "unknown", ctquery.FaultBusy)
	})
	t.Run("callers are sent elsewhere", func(t *testing.T) {
		assert.Assert(t, !s.gateway.Ready(&held))
	})
	t.Run("all is served again once it has come", func(t *testing.T) {
		s.state.SetConfigOutdated(&held, false)
		answer, _ := c.ask(t, ctquery.Read{Item: "i"})
		assert.Assert(t, answer.OK())
	})
}

// TestDrain names the pattern of a planned stop to which callers still come.
func TestDrain(t *testing.T) {
	t.Run("sessions that begin meanwhile are counted", func(t *testing.T) {
		const stops = 20
		for range stops {
			s := newSite(t, small, ctconfig.FreshnessPrimary)
			ctx, cancel := context.WithTimeout(context.Background(), testTime)
			drained := make(chan bool, 1)
			go func() { drained <- s.gateway.Drain(ctx) }()
			s.callers <- newCaller("c", "db")
			s.gateway.ServeConn(nil)
			assert.Assert(t, <-drained)
			cancel()
		}
	})
	t.Run("a session at work is waited for", func(t *testing.T) {
		s := newSite(t, small, ctconfig.FreshnessPrimary)
		c := s.connect(t, "c")
		c.ask(t, ctquery.Begin{})
		c.ask(t, ctquery.Write{Arguments: "i d"})
		ctx, cancel := context.WithTimeout(context.Background(), testTime)
		defer cancel()
		drained := make(chan bool, 1)
		go func() { drained <- s.gateway.Drain(ctx) }()
		answer, _ := c.ask(t, ctquery.Commit{})
		assert.Assert(t, answer.OK())
		assert.Assert(t, <-drained)
	})
}

func TestLostAnswers(t *testing.T) {
	s := newSite(t, small, ctconfig.FreshnessSession)
	var l ledger
	s.together(t, 6, func(c *caller) {
		for i := range 6 {
			if i == 2 {
				s.group.DropAnswers(3)
			}
			answer, id := c.ask(t, ctquery.Write{Arguments: c.name + " x"})
			l.note(id, answer.Fault)
			c.ask(t, ctquery.Read{Item: c.name})
		}
	})
	assertNoFaults(t, s)
	assertTruthful(t, s, &l)
}

// TestFullPrimary names the pattern of a primary that alone can serve, because its
// replicas lag, and is asked more than it has slots for: transactions that are
// refused must not cost it new connections, each of which takes a slot.
func TestFullPrimary(t *testing.T) {
	options := small
	options.QueueDepth = 2
	options.ConnectDelay = 20 * time.Millisecond
	s := newSite(t, options, ctconfig.FreshnessPrimary)
	var l ledger
	s.together(t, 40, func(c *caller) {
		for range 8 {
			c.ask(t, ctquery.Begin{})
			answer, id := c.ask(t, ctquery.Write{Arguments: c.name + " x"})
			if !answer.OK() {
				l.note(id, answer.Fault)
				c.ask(t, ctquery.Rollback{})
				continue
			}
			answer, _ = c.ask(t, ctquery.Commit{})
			l.note(id, answer.Fault)
		}
	})
	assertNoFaults(t, s)
	assertTruthful(t, s, &l)
	opened := s.group.DialCount(ctmembers.MemberName(0))
	assert.Assert(t, opened <= options.Connections, "%d connections were opened", opened)
}
