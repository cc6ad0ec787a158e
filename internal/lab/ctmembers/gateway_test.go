package ctmembers_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmembers"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctgateway"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// testTime ends runs that would never end.
const testTime = 60 * time.Second

// caller is a caller without an encoding: the test asks, the gateway answers.
type caller struct {
	name     string
	database ctid.Database
	// refused is the fault that the first message was answered with.
	refused chan ctquery.Fault
	queries chan ctquery.Query
	answers chan ctquery.Answer
	wake    chan struct{}
	once    sync.Once
	closed  chan struct{}
	count   int
}

func (c *caller) Start(time.Time) (ctid.Database, error) { return c.database, nil }
func (c *caller) Refuse(fault ctquery.Fault, _ string) error {
	c.refused <- fault
	c.Close()
	return nil
}
func (c *caller) Welcome() error                     { return nil }
func (c *caller) Answer(answer ctquery.Answer) error { c.answers <- answer; return nil }
func (c *caller) Close()                             { c.once.Do(func() { close(c.closed) }) }
func (c *caller) Interrupt() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *caller) Next(deadline time.Time) (ctquery.Query, error) {
	var late <-chan time.Time
	if !deadline.IsZero() {
		late = time.After(time.Until(deadline))
	}
	select {
	case q, ok := <-c.queries:
		if !ok {
			return ctquery.Query{}, io.EOF
		}
		return q, nil
	case <-c.wake:
	case <-late:
	case <-c.closed:
		return ctquery.Query{}, io.EOF
	}
	return ctquery.Query{}, os.ErrDeadlineExceeded
}

// ask sends a statement and returns its answer and the id that it had.
func (c *caller) ask(t *testing.T, statement ctquery.Statement) (ctquery.Answer, ctquery.ID) {
	t.Helper()
	c.count++
	id := ctquery.ID(fmt.Sprintf("%s-%d", c.name, c.count))
	c.queries <- ctquery.Query{ID: id, Statement: statement}
	select {
	case answer := <-c.answers:
		return answer, id
	case <-time.After(testTime):
		t.Fatalf("no answer to %s", id)
	}
	return ctquery.Answer{}, id
}

// site is a group with a gateway before it.
type site struct {
	group   *ctmembers.Group
	pools   *ctpools.Pools
	state   *ctstate.State
	gateway *ctgateway.Gateway
	callers chan *caller
}

func newSite(t *testing.T, options ctmembers.Options, freshness ctconfig.Freshness) *site {
	t.Helper()
	s := &site{group: ctmembers.New(options), callers: make(chan *caller, 1)}
	self := ctview.Proxy{
		Name: "p1", FailureDomain: "d1", Incarnation: 1, State: ctserver.StateReady,
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}
	clock := ctclock.System{}
	state := ctstate.New()
	s.state = state
	s.pools = ctpools.New(s.group, self, nil, clock, zerolog.Nop())
	s.gateway = ctgateway.New(ctgateway.Options{
		Domain: "d1", State: state, Pools: s.pools, Clock: clock, Logger: zerolog.Nop(),
		Accept:  func(net.Conn) ctgateway.Caller { return <-s.callers },
		Metrics: ctmetric.New(prometheus.NewRegistry()), Hasten: func() {},
	})
	var held ctlock.Held
	delta := &ctview.Delta{
		To: 1, Proxies: []ctview.Proxy{self}, Members: s.group.Announcements("d1"),
		Groups: []ctview.Group{{Name: options.Name, Term: 1, Primary: ctmembers.MemberName(0)}},
		Config: &ctview.Config{Revision: 1, Document: ctconfig.Document{
			Groups: []ctconfig.Group{{Name: options.Name, Promotion: ctconfig.PromotionExternal}},
			Routes: []ctconfig.Route{{
				Name: "r", Database: "db", Group: options.Name, Freshness: freshness,
				MaxStaleness:     ctconfig.Duration(time.Second),
				StatementTimeout: ctconfig.Duration(2 * time.Second),
				TargetLatency:    ctconfig.Duration(2 * time.Second),
			}},
		}},
	}
	_, view, err := state.Apply(&held, delta)
	assert.NilError(t, err)
	state.Authorize(&held, time.Now().Add(time.Hour))
	s.gateway.Follow(&held, view)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.gateway.Run(ctx)
	return s
}

// connect begins a session whose queries and values carry its name.
func (s *site) connect(t *testing.T, name string) *caller {
	t.Helper()
	c := newCaller(name, "db")
	s.callers <- c
	s.gateway.ServeOne(nil)
	answer, _ := c.ask(t, ctquery.Set{Name: "owner", Value: name})
	assert.Assert(t, answer.OK())
	return c
}

func newCaller(name string, database ctid.Database) *caller {
	return &caller{
		name: name, database: database, refused: make(chan ctquery.Fault, 1),
		queries: make(chan ctquery.Query), answers: make(chan ctquery.Answer, 1),
		wake: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// together runs work for several callers at once.
func (s *site) together(t *testing.T, count int, work func(c *caller)) {
	t.Helper()
	var done sync.WaitGroup
	for i := range count {
		c := s.connect(t, fmt.Sprintf("c%02d", i))
		done.Add(1)
		go func() {
			defer done.Done()
			work(c)
		}()
	}
	done.Wait()
}

func assertNoFaults(t *testing.T, s *site) {
	t.Helper()
	assert.Equal(t, len(s.group.Faults()), 0, "%v", s.group.Faults())
}

// ledger notes what callers were told of their writes.
type ledger struct {
	mutex sync.Mutex
	told  map[ctquery.ID]ctquery.Fault
}

func (l *ledger) note(id ctquery.ID, fault ctquery.Fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.told == nil {
		l.told = make(map[ctquery.ID]ctquery.Fault)
	}
	l.told[id] = fault
}

// assertTruthful checks what callers were told against what the group committed.
func assertTruthful(t *testing.T, s *site, l *ledger) {
	t.Helper()
	committed := s.group.Committed()
	for id, fault := range l.told {
		switch count := committed[id]; {
		case count > 1:
			t.Errorf("write %s took effect %d times", id, count)
		case fault == ctquery.FaultNone && count == 0:
			t.Errorf("write %s was acknowledged and is lost", id)
		case (fault.NotRun() || fault == ctquery.FaultAborted) && count > 0:
			t.Errorf("write %s was told %s and is kept", id, fault)
		}
	}
}

var small = ctmembers.Options{
	Name: "g", Members: 3, Slots: 2, Queue: 16, Work: time.Millisecond, Handshake: 2 * time.Millisecond, Connections: 20,
}

func TestSessions(t *testing.T) {
	t.Run("see their own writes though replicas lag", func(t *testing.T) {
		options := small
		options.Lag = 3
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
		for id, count := range s.group.Committed() {
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
	s.gateway.ServeOne(nil)
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
	s.state.SetOutdated(&held, true)
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
		s.state.SetOutdated(&held, false)
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
			s.gateway.ServeOne(nil)
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
				s.group.Lose(3)
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
	options.Queue = 2
	options.Handshake = 20 * time.Millisecond
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
	opened := s.group.Opened(ctmembers.MemberName(0))
	assert.Assert(t, opened <= options.Connections, "%d connections were opened", opened)
}

// pipes opens ways to pools in this process.
type pipes struct {
	carrier *ctpools.Pools
}

func (p pipes) Open(context.Context, netip.AddrPort) (ctframe.Way, error) {
	here, there := net.Pipe()
	way := cttcp.New(there)
	go func() {
		defer way.Close()
		frame, err := way.Read()
		if carry, ok := frame.(*ctframe.Carry); err == nil && ok {
			p.carrier.Carry(way, carry)
		}
	}()
	return cttcp.New(here), nil
}

// TestCarry names the pattern of more proxies than a member has connections for.
func TestCarry(t *testing.T) {
	group := ctmembers.New(small)
	view := &ctview.View{}
	delta := &ctview.Delta{To: 1, Members: group.Announcements("near")}
	for i := range 12 {
		domain := ctid.FailureDomain("far")
		if i < 2 {
			domain = "near"
		}
		delta.Proxies = append(delta.Proxies, ctview.Proxy{
			Name: ctid.Proxy(fmt.Sprintf("p%02d", i)), FailureDomain: domain, Incarnation: 1, State: ctserver.StateReady,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 1),
		})
	}
	view, err := view.Apply(delta)
	assert.NilError(t, err)
	var held ctlock.Held
	clock := ctclock.System{}
	near := ctpools.New(group, delta.Proxies[0], pipes{}, clock, zerolog.Nop())
	near.Follow(&held, view)
	far := ctpools.New(group, delta.Proxies[5], pipes{carrier: near}, clock, zerolog.Nop())
	far.Follow(&held, view)
	run := func(t *testing.T, conn *ctpools.Conn, id ctquery.ID, statement ctquery.Statement) ctquery.Answer {
		t.Helper()
		until := clock.Now().Add(testTime)
		answer, err := conn.Run(nil, ctquery.Query{ID: id, Statement: statement}, ctpools.Limits{Offer: until, Until: until})
		assert.NilError(t, err)
		return answer
	}
	primary := ctmembers.MemberName(0)
	acquire := func(t *testing.T) *ctpools.Conn {
		t.Helper()
		conn, err := far.Acquire(&held, primary, ctpools.Wish{Until: clock.Now().Add(testTime)})
		assert.NilError(t, err)
		return conn
	}
	t.Run("only proxies of the member's failure domain hold it", func(t *testing.T) {
		assert.Assert(t, near.Holds(&held, primary))
		assert.Assert(t, !far.Holds(&held, primary))
	})
	t.Run("a transaction stays on one connection", func(t *testing.T) {
		conn := acquire(t)
		assert.Assert(t, run(t, conn, "a-1", ctquery.Begin{}).OK())
		assert.Assert(t, run(t, conn, "a-2", ctquery.Write{Arguments: "x 1"}).OK())
		assert.Equal(t, near.Carrying(), 1)
		assert.Assert(t, run(t, conn, "a-3", ctquery.Commit{}).OK())
		assert.Equal(t, near.Carrying(), 0)
		far.Release(&held, conn, ctpools.Use{Answered: true})
		assert.Equal(t, group.Committed()["a-2"], 1)
	})
	t.Run("a way that ends rolls its transaction back", func(t *testing.T) {
		conn := acquire(t)
		run(t, conn, "b-1", ctquery.Begin{})
		run(t, conn, "b-2", ctquery.Write{Arguments: "x 2"})
		far.Release(&held, conn, ctpools.Use{Close: true})
		for near.Carrying() > 0 {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, group.Committed()["b-2"], 0)
	})
	t.Run("a proxy that is to stop is given nothing more", func(t *testing.T) {
		conn := acquire(t)
		run(t, conn, "c-1", ctquery.Read{Item: "x"})
		near.Part()
		for conn.Alive() {
			time.Sleep(time.Millisecond)
		}
		far.Release(&held, conn, ctpools.Use{})
	})
	assert.Equal(t, len(group.Faults()), 0, "%v", group.Faults())
}
