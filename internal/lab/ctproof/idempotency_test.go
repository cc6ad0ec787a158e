package ctproof

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
)

// withKey puts a comment with an idempotency key in front of a statement.
func withKey(key, text string) string {
	return "/* idempotency_key=" + key + " */ " + text
}

// isDuplicate reports whether an error states that the request ran earlier under
// the same idempotency key.
func isDuplicate(err error) bool {
	var failure *pgconn.PgError
	return errors.As(err, &failure) && strings.Contains(failure.Detail, "reason=ran_before")
}

// assertRejectsKey checks that a text with an unusable idempotency key is rejected
// and reported as not run.
func assertRejectsKey(t *testing.T, session *pgconn.PgConn, text string) {
	t.Helper()
	_, err := run(session, text)
	assert.ErrorContains(t, err, "idempotency key not usable")
	assert.Equal(t, classify(err), outcomeNotRun)
}

// TestIdempotencyKey checks that a request that is sent again under its idempotency
// key runs once, through whichever proxy it is sent. A key that can't protect its
// request must be rejected before anything runs.
func TestIdempotencyKey(t *testing.T) {
	fleet := start(t, smallFleet())
	insert := "INSERT INTO tests (key, value) VALUES ('m8', '21.5')"
	t.Run("makes a request run once", func(t *testing.T) {
		mustRun(t, open(t, fleet.Proxies[0], nil), withKey("once", insert))
		second := open(t, fleet.Proxies[1], nil)
		_, err := run(second, withKey("once", insert))
		assert.Assert(t, isDuplicate(err), "%v", err)
		third := open(t, fleet.Proxies[2], startupParameters{"cherviltrestle.token": tokenOf(second)})
		assert.DeepEqual(t, mustRun(t, third, "SELECT count(*) FROM tests WHERE key = 'm8'"), []string{"1"})
	})
	t.Run("leaves no record of a request that failed", func(t *testing.T) {
		session := open(t, fleet.Proxies[0], nil)
		_, err := run(session, withKey("failed", "SELECT 1/0"))
		assert.ErrorContains(t, err, "division by zero")
		mustRun(t, session, withKey("failed", "INSERT INTO tests (key, value) VALUES ('m9', '22')"))
	})
	for _, rejected := range []struct{ name, text string }{
		{"with an invalid character", withKey("a'b", insert)},
		{"in front of several statements", withKey("several", insert+"; "+insert)},
		{"in front of BEGIN", withKey("begin", "BEGIN")},
	} {
		t.Run("is rejected "+rejected.name, func(t *testing.T) {
			assertRejectsKey(t, open(t, fleet.Proxies[0], nil), rejected.text)
		})
	}
	t.Run("is rejected in a transaction", func(t *testing.T) {
		session := open(t, fleet.Proxies[0], nil)
		mustRun(t, session, "BEGIN")
		assertRejectsKey(t, session, withKey("inside", insert))
	})
}

// keyedCallers are concurrent callers that insert rows under idempotency keys. They
// send each request again, through the next proxy, until it is acknowledged or
// reported as a duplicate.
type keyedCallers struct {
	callerPool

	fleet *ctfleet.Fleet
	mutex sync.Mutex
	// acknowledged are the keys of the requests that were reported to have run.
	acknowledged []string
	// duplicates counts the acknowledged requests that were reported as duplicates.
	duplicates int
}

// startKeyedCallers starts count callers. The test ends them with stopAndWait.
func startKeyedCallers(fleet *ctfleet.Fleet, count int) *keyedCallers {
	c := &keyedCallers{fleet: fleet}
	c.start(count, c.runCaller)
	return c
}

// count returns the number of requests that were reported to have run.
func (c *keyedCallers) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.acknowledged)
}

// awaitMore waits until the count has grown by more.
func (c *keyedCallers) awaitMore(t *testing.T, more int) {
	t.Helper()
	awaitCount(t, "more writes with keys are acknowledged", c.count, more)
}

// runCaller sends requests until the callers are stopped.
func (c *keyedCallers) runCaller(number int) {
	proxyIndex := number
	for sequence := 0; !c.stopped(); sequence++ {
		key := fmt.Sprintf("keyed-%d-%d", number, sequence)
		for !c.insert(key, proxyIndex) && !c.stopped() {
			proxyIndex++
		}
	}
}

// insert sends one request in a session of its own and returns whether it was
// reported to have run, now or earlier.
func (c *keyedCallers) insert(key string, proxyIndex int) bool {
	proxy := c.fleet.Proxies[proxyIndex%len(c.fleet.Proxies)]
	if !proxy.Running() {
		return false
	}
	session, err := dial(proxy, nil)
	if err != nil {
		return false
	}
	defer func() { _ = session.Conn().Close() }()
	_, err = run(session, withKey(key, "INSERT INTO tests (key, value) VALUES ('"+key+"', 'x')"))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil && !isDuplicate(err) {
		return false
	}
	if err != nil {
		c.duplicates++
	}
	c.acknowledged = append(c.acknowledged, key)
	return true
}

// assertRanOnce checks that each request that was reported to have run is in the log
// of the primary exactly once.
func assertRanOnce(t *testing.T, c *keyedCallers, primary *ctfleet.Process) {
	t.Helper()
	entries, err := c.fleet.Log(primary)
	assert.NilError(t, err)
	logged := make(map[string]int)
	for _, e := range entries {
		if e.Table == "tests" {
			logged[e.Key]++
		}
	}
	for _, key := range c.acknowledged {
		if logged[key] != 1 {
			t.Errorf("request %s is %d times in the log of %s", key, logged[key], primary.Name)
		}
	}
	t.Logf("%d requests ran; %d of them were reported as duplicates", len(c.acknowledged), c.duplicates)
}

// TestKeyedRequestsRunOnce checks that requests with idempotency keys run once
// although callers and proxies send them again after a lost answer. An answer is
// lost when the primary or its holder is killed after the write was committed.
func TestKeyedRequestsRunOnce(t *testing.T) {
	t.Run("when the primary is killed while its answers are delayed", func(t *testing.T) {
		fleet := start(t, smallFleet())
		callers := startKeyedCallers(fleet, callerCount)
		callers.awaitMore(t, writeCount)
		for _, m := range fleet.Members[group][1:] {
			assert.NilError(t, fleet.SetFaults(m, ctstandin.Faults{ReceiveLag: 50}))
		}
		callers.awaitMore(t, callerCount)
		fleet.Members[group][0].Kill()
		primary := awaitPrimary(t, fleet, fleet.Proxies[1], fleet.Members[group][0])
		callers.awaitMore(t, writeCount)
		callers.stopAndWait()
		assertRanOnce(t, callers, primary)
	})
	t.Run("when the holder is killed repeatedly", func(t *testing.T) {
		shape := smallFleet()
		shape.Proxies = 2
		fleet := start(t, shape)
		callers := startKeyedCallers(fleet, callerCount)
		for _, holder := range fleet.ProxiesAt(failureDomains[0]) {
			callers.awaitMore(t, writeCount)
			holder.Kill()
			callers.awaitMore(t, writeCount)
			assert.NilError(t, holder.Start())
			assert.NilError(t, fleet.AwaitHeld())
		}
		callers.stopAndWait()
		assertRanOnce(t, callers, awaitPrimary(t, fleet, fleet.Proxies[2], nil))
	})
}
