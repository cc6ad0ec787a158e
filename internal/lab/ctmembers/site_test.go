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

func (c *caller) ReadStartup(time.Time) (ctid.Database, error) { return c.database, nil }
func (c *caller) RefuseStartup(fault ctquery.Fault, _ string) error {
	c.refused <- fault
	c.Close()
	return nil
}
func (c *caller) AcceptStartup() error                    { return nil }
func (c *caller) WriteAnswer(answer ctquery.Answer) error { c.answers <- answer; return nil }
func (c *caller) Close()                                  { c.once.Do(func() { close(c.closed) }) }
func (c *caller) Interrupt() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *caller) ReadQuery(deadline time.Time) (ctquery.Query, error) {
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
		FailureDomain: "d1", State: state, Pools: s.pools, Clock: clock, Logger: zerolog.Nop(),
		NewCaller: func(net.Conn) ctgateway.Caller { return <-s.callers },
		Metrics:   ctmetric.New(prometheus.NewRegistry()), TriggerReport: func() {},
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
	_, view, err := state.ApplyDelta(&held, delta)
	assert.NilError(t, err)
	state.ExtendAuthority(&held, time.Now().Add(time.Hour))
	s.gateway.ApplyView(&held, view)
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
	s.gateway.ServeConn(nil)
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
	assert.Equal(t, len(s.group.Violations()), 0, "%v", s.group.Violations())
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
	committed := s.group.WriteCounts()
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
	Name: "g", Members: 3, Slots: 2, QueueDepth: 16,
	StatementDelay: time.Millisecond, ConnectDelay: 2 * time.Millisecond, Connections: 20,
}
