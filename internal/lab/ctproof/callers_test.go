package ctproof

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// outcome is the outcome of a write that was reported to its caller.
type outcome int

const (
	// outcomeAcknowledged means that the write was acknowledged.
	outcomeAcknowledged outcome = iota
	// outcomeNotRun means that an error reported that the write did not run.
	outcomeNotRun
	// outcomeUnknown means that an error reported the outcome as unknown, or
	// that the connection was lost.
	outcomeUnknown
)

// classify returns the outcome that a request's error reports. An error that
// did not come from the proxy, such as a lost connection, is outcomeUnknown.
func classify(err error) outcome {
	if err == nil {
		return outcomeAcknowledged
	}
	var failure *pgconn.PgError
	if !errors.As(err, &failure) {
		return outcomeUnknown
	}
	if strings.Contains(failure.Detail, "outcome=unknown") {
		return outcomeUnknown
	}
	return outcomeNotRun
}

// callers are concurrent callers. Each inserts rows with its own keys and
// records the outcome that was reported for each row.
type callers struct {
	callerPool

	fleet *ctfleet.Fleet
	// verify makes each caller read every acknowledged row back through another
	// proxy, with the session token of the write.
	verify bool

	mutex sync.Mutex
	// outcomes are the reported outcomes by row key.
	outcomes map[string]outcome
	// wrongReads describes the rows that were not read back exactly once.
	wrongReads []string
	// unknownErrors describes the errors with an unknown outcome.
	unknownErrors []string
}

// startCallers starts count callers. The test ends them with stopAndWait.
func startCallers(fleet *ctfleet.Fleet, count int, verify bool) *callers {
	c := &callers{fleet: fleet, verify: verify, outcomes: make(map[string]outcome)}
	c.start(count, c.runCaller)
	return c
}

// count returns the number of writes with the outcome want.
func (c *callers) count(want outcome) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, o := range c.outcomes {
		if o == want {
			count++
		}
	}
	return count
}

// awaitMore waits until the number of acknowledged writes has grown by more.
func (c *callers) awaitMore(t *testing.T, more int) {
	t.Helper()
	awaitCount(t, "more writes are acknowledged", func() int { return c.count(outcomeAcknowledged) }, more)
}

// runCaller inserts rows until the callers are stopped. It dials the next proxy
// whenever its session is lost.
func (c *callers) runCaller(number int) {
	var session *pgconn.PgConn
	proxyIndex := number
	for sequence := 0; !c.stopped(); sequence++ {
		if session == nil || session.IsClosed() {
			proxyIndex++
			session = c.connect(proxyIndex)
			if session == nil {
				continue
			}
		}
		c.insert(session, fmt.Sprintf("caller-%d-%d", number, sequence), proxyIndex)
	}
}

// connect opens a session through the proxy at proxyIndex, which wraps around.
// It returns nil if the proxy does not run or the session can't be opened.
func (c *callers) connect(proxyIndex int) *pgconn.PgConn {
	proxy := c.fleet.Proxies[proxyIndex%len(c.fleet.Proxies)]
	if !proxy.Running() {
		return nil
	}
	session, err := dial(proxy, nil)
	if err != nil {
		return nil
	}
	return session
}

// insert inserts one row and records the reported outcome.
func (c *callers) insert(session *pgconn.PgConn, key string, proxyIndex int) {
	_, err := run(session, "INSERT INTO tests (key, value) VALUES ('"+key+"', 'x')")
	c.mutex.Lock()
	c.outcomes[key] = classify(err)
	if classify(err) == outcomeUnknown {
		c.unknownErrors = append(c.unknownErrors,
			fmt.Sprintf("%s through proxy %d: %v", key, proxyIndex%len(c.fleet.Proxies), err))
	}
	c.mutex.Unlock()
	if err == nil && c.verify {
		c.readBack(session, key, proxyIndex+1)
	}
}

// readBack reads an acknowledged row through another proxy with the session's
// token, and records a wrong read if the row is not there exactly once. A read
// that fails is ignored.
func (c *callers) readBack(session *pgconn.PgConn, key string, proxyIndex int) {
	proxy := c.fleet.Proxies[proxyIndex%len(c.fleet.Proxies)]
	if !proxy.Running() {
		return
	}
	other, err := dial(proxy, startupParameters{"cherviltrestle.token": tokenOf(session)})
	if err != nil {
		return
	}
	defer func() { _ = other.Close(context.Background()) }()
	values, err := run(other, "SELECT count(*) FROM tests WHERE key = '"+key+"'")
	if err != nil || (len(values) == 1 && values[0] == "1") {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.wrongReads = append(c.wrongReads, fmt.Sprintf("%s read back through %s as %v", key, proxy.Name, values))
}

// assertOutcomesMatchLog compares the reported outcomes with the log of the
// group's primary: an acknowledged write is logged once, a write that did not
// run is not logged, and no write is logged twice. There must be no wrong reads.
func assertOutcomesMatchLog(t *testing.T, c *callers, primary *ctfleet.Process) {
	t.Helper()
	entries, err := c.fleet.Log(primary)
	assert.NilError(t, err)
	logged := make(map[string]int)
	for _, e := range entries {
		logged[e.Key]++
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for key, reported := range c.outcomes {
		switch {
		case reported == outcomeAcknowledged && logged[key] != 1:
			t.Errorf("acknowledged write %s is %d times in the log of %s", key, logged[key], primary.Name)
		case reported == outcomeNotRun && logged[key] != 0:
			t.Errorf("write %s was reported as not run and is %d times in the log of %s", key, logged[key], primary.Name)
		case logged[key] > 1:
			t.Errorf("write %s is %d times in the log of %s", key, logged[key], primary.Name)
		}
	}
	assert.Equal(t, len(c.wrongReads), 0, "%v", c.wrongReads)
}

// awaitPrimary waits until the proxy's view has a running primary other than
// except, and returns that member. A nil except excludes no member.
func awaitPrimary(t *testing.T, fleet *ctfleet.Fleet, proxy, except *ctfleet.Process) *ctfleet.Process {
	t.Helper()
	var primary *ctfleet.Process
	assert.NilError(t, ctfleet.WaitUntil("another primary", func() bool {
		primary = fleet.Primary(proxy, group)
		return primary != nil && primary != except && primary.Running()
	}))
	return primary
}
