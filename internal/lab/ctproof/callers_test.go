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

// told is what a caller was told of a write.
type told int

const (
	// toldRan means that the write was acknowledged.
	toldRan told = iota
	// toldNotRun means that the caller was told that the write did not run.
	toldNotRun
	// toldUnknown means that the caller was told that the outcome is unknown,
	// or lost its connection.
	toldUnknown
)

// classify returns what an error tells a caller of its request.
func classify(err error) told {
	if err == nil {
		return toldRan
	}
	var failure *pgconn.PgError
	if !errors.As(err, &failure) {
		return toldUnknown
	}
	if strings.Contains(failure.Detail, "outcome=unknown") {
		return toldUnknown
	}
	return toldNotRun
}

// callers are concurrent callers that insert rows with keys of their own and
// remember what they were told of each.
type callers struct {
	crowd

	fleet *ctfleet.Fleet
	// verify makes each caller read every acknowledged row back through
	// another proxy, with its token.
	verify bool

	mutex sync.Mutex
	told  map[string]told
	wrong []string
	// doubts tells how outcomes became unknown.
	doubts []string
}

// work starts the stated number of callers.
func work(fleet *ctfleet.Fleet, count int, verify bool) *callers {
	c := &callers{fleet: fleet, verify: verify, told: make(map[string]told)}
	c.start(count, c.call)
	return c
}

// count returns how many writes the callers were told the stated thing of.
func (c *callers) count(want told) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, t := range c.told {
		if t == want {
			count++
		}
	}
	return count
}

// awaitMore waits until the stated number of further writes is acknowledged.
func (c *callers) awaitMore(t *testing.T, more int) {
	t.Helper()
	awaitCount(t, "more writes are acknowledged", func() int { return c.count(toldRan) }, more)
}

func (c *callers) call(number int) {
	var session *pgconn.PgConn
	turn := number
	for sequence := 0; !c.stopped(); sequence++ {
		if session == nil || session.IsClosed() {
			turn++
			session = c.connect(turn)
			if session == nil {
				continue
			}
		}
		c.insert(session, fmt.Sprintf("caller-%d-%d", number, sequence), turn)
	}
}

// connect opens a session through a running proxy, or returns nil.
func (c *callers) connect(turn int) *pgconn.PgConn {
	proxy := c.fleet.Proxies[turn%len(c.fleet.Proxies)]
	if !proxy.Running() {
		return nil
	}
	session, err := dial(proxy, nil)
	if err != nil {
		return nil
	}
	return session
}

func (c *callers) insert(session *pgconn.PgConn, key string, turn int) {
	_, err := run(session, "INSERT INTO tests (key, value) VALUES ('"+key+"', 'x')")
	c.mutex.Lock()
	c.told[key] = classify(err)
	if classify(err) == toldUnknown {
		c.doubts = append(c.doubts, fmt.Sprintf("%s through proxy %d: %v", key, turn%len(c.fleet.Proxies), err))
	}
	c.mutex.Unlock()
	if err == nil && c.verify {
		c.readBack(session, key, turn+1)
	}
}

// readBack reads an acknowledged row through another proxy with the session's
// token. It must be there.
func (c *callers) readBack(session *pgconn.PgConn, key string, turn int) {
	proxy := c.fleet.Proxies[turn%len(c.fleet.Proxies)]
	if !proxy.Running() {
		return
	}
	moved, err := dial(proxy, parameters{"cherviltrestle.token": tokenOf(session)})
	if err != nil {
		return
	}
	defer func() { _ = moved.Close(context.Background()) }()
	values, err := run(moved, "SELECT count(*) FROM tests WHERE key = '"+key+"'")
	if err != nil || (len(values) == 1 && values[0] == "1") {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.wrong = append(c.wrong, fmt.Sprintf("%s read back through %s as %v", key, proxy.Name, values))
}

// assertTruthful compares what the callers were told with the log of the
// group's primary.
func assertTruthful(t *testing.T, c *callers, primary *ctfleet.Process) {
	t.Helper()
	entries, err := c.fleet.Log(primary)
	assert.NilError(t, err)
	times := make(map[string]int)
	for _, e := range entries {
		times[e.Key]++
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for key, what := range c.told {
		switch {
		case what == toldRan && times[key] != 1:
			t.Errorf("acknowledged write %s is %d times in the log of %s", key, times[key], primary.Name)
		case what == toldNotRun && times[key] != 0:
			t.Errorf("write %s was told not run and is %d times in the log of %s", key, times[key], primary.Name)
		case times[key] > 1:
			t.Errorf("write %s is %d times in the log of %s", key, times[key], primary.Name)
		}
	}
	assert.Equal(t, len(c.wrong), 0, "%v", c.wrong)
}

// awaitPrimary waits until a proxy takes a running member other than except for
// the primary, and returns it.
func awaitPrimary(t *testing.T, fleet *ctfleet.Fleet, proxy, except *ctfleet.Process) *ctfleet.Process {
	t.Helper()
	var primary *ctfleet.Process
	assert.NilError(t, ctfleet.WaitUntil("another primary", func() bool {
		primary = fleet.Primary(proxy, group)
		return primary != nil && primary != except && primary.Running()
	}))
	return primary
}
