package ctmembers_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmembers"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
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

// testTimeout bounds the waits for answers and for a drain, so that a hanging test
// fails.
const testTimeout = 60 * time.Second

// caller implements ctgateway.Caller without an encoding. The test sends queries with
// call, and the gateway writes the answers.
type caller struct {
	name     string
	database ctid.Database
	// key is the digest of the key that the caller presents; zero if it presents none.
	key ctid.KeyDigest
	// startupFaults passes the fault with which the gateway refused the startup.
	startupFaults chan ctquery.Fault
	queries       chan ctquery.Query
	answers       chan ctquery.Answer
	interrupts    chan struct{}
	once          sync.Once
	closed        chan struct{}
	queryCount    int
	// sent is the query that was sent last, and group the one that judges its answer; nil if
	// none does.
	sent  ctquery.Query
	group *ctmembers.Group
	// interruptedFirst makes an interrupt end a read although a query has arrived.
	interruptedFirst bool
}

func (c *caller) ReadStartup(time.Time) (ctgateway.Startup, error) {
	return ctgateway.Startup{Database: c.database, Key: c.key}, nil
}

func (c *caller) RefuseStartup(fault ctquery.Fault, _ string) error {
	c.startupFaults <- fault
	c.Close()
	return nil
}
func (c *caller) AcceptStartup() error                    { return nil }
func (c *caller) WriteAnswer(answer ctquery.Answer) error { c.answers <- answer; return nil }
func (c *caller) Close()                                  { c.once.Do(func() { close(c.closed) }) }
func (c *caller) Interrupt() {
	select {
	case c.interrupts <- struct{}{}:
	default:
	}
}

func (c *caller) ReadQuery(deadline time.Time) (ctquery.Query, error) {
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		timeout = time.After(time.Until(deadline))
	}
	if c.interruptedFirst {
		<-c.interrupts
		c.interruptedFirst = false
		return ctquery.Query{}, os.ErrDeadlineExceeded
	}
	select {
	case q, ok := <-c.queries:
		if !ok {
			return ctquery.Query{}, io.EOF
		}
		return q, nil
	case <-c.interrupts:
	case <-timeout:
	case <-c.closed:
		return ctquery.Query{}, io.EOF
	}
	return ctquery.Query{}, os.ErrDeadlineExceeded
}

// call sends a statement and returns its answer and the query's ID.
func (c *caller) call(t *testing.T, statement ctquery.Statement) (ctquery.Answer, ctquery.ID) {
	t.Helper()
	id := c.send(statement)
	return c.awaitAnswer(t, id), id
}

// send sends a statement without waiting for its answer.
func (c *caller) send(statement ctquery.Statement) ctquery.ID {
	c.queryCount++
	id := ctquery.ID(fmt.Sprintf("%s-%d", c.name, c.queryCount))
	c.sent = ctquery.Query{ID: id, Statement: statement}
	c.queries <- c.sent
	return id
}

// awaitAnswer waits for the answer to the query that was sent last, and judges it.
func (c *caller) awaitAnswer(t *testing.T, id ctquery.ID) ctquery.Answer {
	t.Helper()
	answer, ok := c.receive()
	if !ok {
		t.Fatalf("no answer to %s", id)
	}
	if c.group != nil {
		c.group.CheckAnswer(c.sent, answer)
	}
	return answer
}

// receive waits for an answer. It returns false if none comes in time or before the end.
func (c *caller) receive() (ctquery.Answer, bool) {
	select {
	case answer := <-c.answers:
		return answer, true
	case <-c.closed:
	case <-time.After(testTimeout):
	}
	select {
	case answer := <-c.answers:
		return answer, true
	default:
		return ctquery.Answer{}, false
	}
}

// way is how a proxy's statements get to members.
type way string

const (
	// direct: over the proxy's own connections.
	direct way = "over its own connections"
	// forwarded: over those of another proxy.
	forwarded way = "over another proxy"
)

// aheadClock is the system's clock, set ahead by the test.
type aheadClock struct {
	ctclock.System
	ahead atomic.Int64
}

func (c *aheadClock) Now() time.Time {
	return c.System.Now().Add(time.Duration(c.ahead.Load()))
}

// fixture is a group with the gateway of one proxy in front of it.
type fixture struct {
	group *ctmembers.Group
	pools *ctpools.Pools
	// carrier holds the connections of the proxy that forwards; nil if none does.
	carrier *ctpools.Pools
	state   *ctstate.State
	gateway *ctgateway.Gateway
	clock   *aheadClock
	callers chan *caller
	// log is that of the gateway.
	log *logBuffer
}

// logBuffer is a log in memory. It is safe for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// primaryDatabase is the database whose route leads to the primary in each fixture.
const primaryDatabase = "db_primary"

// maxStaleness is that of the routes.
const maxStaleness = time.Second

func newRoute(group ctid.Group, database ctid.Database, freshness ctconfig.Freshness) ctconfig.Route {
	return ctconfig.Route{
		Name: "r-" + string(database), Database: database, Group: group, Freshness: freshness,
		MaxStaleness:     ctconfig.Duration(maxStaleness),
		StatementTimeout: ctconfig.Duration(2 * time.Second),
		TargetLatency:    ctconfig.Duration(2 * time.Second),
	}
}

// newFixture starts a gateway with a route of a freshness, to the database "db", and stops
// it when the test ends.
func newFixture(t *testing.T, options ctmembers.Options, freshness ctconfig.Freshness) *fixture {
	t.Helper()
	return newFixtureWith(t, direct, options, freshness)
}

// newFixtureWith is newFixture with a proxy whose statements go a given way.
func newFixtureWith(t *testing.T, w way, options ctmembers.Options, freshness ctconfig.Freshness) *fixture {
	t.Helper()
	return newConfiguredFixture(t, w, options, freshness, func(*ctconfig.Document) {})
}

// newConfiguredFixture is newFixtureWith with a configuration that the test completes.
func newConfiguredFixture(
	t *testing.T, w way, options ctmembers.Options, freshness ctconfig.Freshness,
	configure func(document *ctconfig.Document),
) *fixture {
	t.Helper()
	clock := &aheadClock{}
	f := &fixture{group: ctmembers.New(options), clock: clock, callers: make(chan *caller, 1), log: &logBuffer{}}
	proxies := []ctview.Proxy{newProxy(1, "d1")}
	self := proxies[0]
	state := ctstate.New()
	f.state = state
	var transport ctframe.Transport
	if w == forwarded {
		// With so many proxies, the members have no connections for each.
		for i := range options.Connections {
			proxies = append(proxies, newProxy(2+i, "d2"))
		}
		self = proxies[1]
		f.carrier = ctpools.New(f.group, proxies[0], pipeTransport{}, clock, zerolog.Nop())
		transport = pipeTransport{owner: f.carrier}
	}
	f.pools = ctpools.New(f.group, self, transport, clock, zerolog.Nop())
	f.gateway = ctgateway.New(ctgateway.Options{
		FailureDomain: self.FailureDomain, State: state, Pools: f.pools, Clock: clock, Logger: zerolog.New(f.log),
		NewCaller: func(net.Conn, ctgateway.Meter) ctgateway.Caller { return <-f.callers },
		DecodeStatus: func(answer ctquery.Answer) (ctquery.Status, error) {
			return ctquery.Status{Role: ctserver.RoleReplica, Received: answer.Point}, nil
		},
		Metrics: ctmetric.New(prometheus.NewRegistry()), TriggerReport: func() {},
	})
	var held ctlock.Held
	document := ctconfig.Document{
		Groups: []ctconfig.Group{{Name: options.Name, Promotion: ctconfig.PromotionExternal}},
		Routes: []ctconfig.Route{
			newRoute(options.Name, "db", freshness),
			newRoute(options.Name, primaryDatabase, ctconfig.FreshnessPrimary),
		},
	}
	configure(&document)
	delta := &ctview.Delta{
		To: 1, Proxies: proxies, Members: f.group.Announcements("d1"),
		Groups: []ctview.Group{{Name: options.Name, Term: 1, Primary: ctmembers.MemberName(0)}},
		Config: &ctview.Config{Revision: 1, Document: document},
	}
	_, view, err := state.ApplyDelta(&held, delta)
	assert.NilError(t, err)
	t.Cleanup(func() { assertNoViolations(t, f) })
	state.ExtendAuthority(&held, time.Now().Add(time.Hour))
	if f.carrier != nil {
		f.carrier.ApplyView(&held, view)
	}
	f.gateway.ApplyView(&held, view)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.gateway.Run(ctx)
	return f
}

// newProxy returns a proxy of a failure domain.
func newProxy(number int, domain ctid.FailureDomain) ctview.Proxy {
	return ctview.Proxy{
		Name: ctid.Proxy(fmt.Sprintf("p%02d", number)), FailureDomain: domain, Incarnation: 1, State: ctserver.StateReady,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(number)}), 1),
	}
}

// setGroup applies a newer state of the group, as the reply to a report does.
func (f *fixture) setGroup(group ctview.Group) {
	var held ctlock.Held
	group.Name = f.group.Name
	_, view := f.state.ApplyGroups(&held, []ctview.Group{group})
	f.gateway.ApplyView(&held, view)
}

// replacePrimary applies the result of a whole change of primary, of which the proxy has
// seen nothing before. The old primary still considers itself the primary.
func (f *fixture) replacePrimary() {
	f.setGroup(ctview.Group{Term: 2, Primary: ctmembers.MemberName(1)})
}

// connect starts a session. Its query IDs begin with its name, and its setting
// "owner" contains it, so that the group can check which session a query belongs to.
func (f *fixture) connect(t *testing.T, name string) *caller {
	t.Helper()
	return f.connectTo(t, name, "db")
}

// connectTo is connect for a session of the given database.
func (f *fixture) connectTo(t *testing.T, name string, database ctid.Database) *caller {
	t.Helper()
	c := newCaller(name, database)
	c.group = f.group
	f.callers <- c
	f.gateway.ServeConn(nil)
	answer, _ := c.call(t, ctquery.Set{Name: "owner", Value: ctquery.Text(name)})
	assert.Assert(t, answer.OK())
	return c
}

func newCaller(name string, database ctid.Database) *caller {
	return &caller{
		name: name, database: database, startupFaults: make(chan ctquery.Fault, 1),
		queries: make(chan ctquery.Query), answers: make(chan ctquery.Answer, 1),
		interrupts: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// runConcurrently runs work for count callers at once and waits for all.
func (f *fixture) runConcurrently(t *testing.T, count int, work func(c *caller)) {
	t.Helper()
	var done sync.WaitGroup
	for i := range count {
		c := f.connect(t, fmt.Sprintf("c%02d", i))
		done.Add(1)
		go func() {
			defer done.Done()
			work(c)
		}()
	}
	done.Wait()
}

func assertNoViolations(t *testing.T, f *fixture) {
	t.Helper()
	assert.Equal(t, len(f.group.Violations()), 0, "%v", f.group.Violations())
}

// writeOutcomes records the fault of each write's answer; FaultNone is a success.
type writeOutcomes struct {
	mutex  sync.Mutex
	faults map[ctquery.ID]ctquery.Fault
}

func (outcomes *writeOutcomes) record(id ctquery.ID, fault ctquery.Fault) {
	outcomes.mutex.Lock()
	defer outcomes.mutex.Unlock()
	if outcomes.faults == nil {
		outcomes.faults = make(map[ctquery.ID]ctquery.Fault)
	}
	outcomes.faults[id] = fault
}

// assertOutcomes checks the recorded outcomes against the group's committed writes: a
// write took effect at most once, at least once if it succeeded, and not at all if
// its fault says so.
func assertOutcomes(t *testing.T, f *fixture, outcomes *writeOutcomes) {
	t.Helper()
	committed := f.group.WriteCounts()
	for id, fault := range outcomes.faults {
		switch count := committed[id]; {
		case count > 1:
			t.Errorf("write %s took effect %d times", id, count)
		case fault == ctquery.FaultNone && count == 0:
			t.Errorf("write %s was acknowledged but is lost", id)
		case (fault.NotRun() || fault == ctquery.FaultAborted) && count > 0:
			t.Errorf("write %s failed with %s but was committed", id, fault)
		}
	}
}

// smallGroup has few slots, so that queries of the tests have to wait for them.
var smallGroup = ctmembers.Options{
	Name: "g", Members: 3, Slots: 2, QueueDepth: 16,
	StatementDelay: time.Millisecond, ConnectDelay: 2 * time.Millisecond, Connections: 20,
}
