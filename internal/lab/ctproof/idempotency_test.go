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

// withKey puts an idempotency key in front of a text.
func withKey(key, text string) string {
	return "/* idempotency_key=" + key + " */ " + text
}

// isDuplicate reports whether an error tells that the request ran when it was sent
// earlier.
func isDuplicate(err error) bool {
	var failure *pgconn.PgError
	return errors.As(err, &failure) && strings.Contains(failure.Detail, "reason=ran_before")
}

// assertRefusesKey checks that a keyed text is refused and did not run.
func assertRefusesKey(t *testing.T, session *pgconn.PgConn, text string) {
	t.Helper()
	_, err := run(session, text)
	assert.ErrorContains(t, err, "idempotency key not usable")
	assert.Equal(t, classify(err), outcomeNotRun)
}

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
	for _, refused := range []struct{ name, text string }{
		{"that is no name", withKey("a'b", insert)},
		{"in front of several statements", withKey("several", insert+"; "+insert)},
		{"in front of BEGIN", withKey("begin", "BEGIN")},
	} {
		t.Run("is refused "+refused.name, func(t *testing.T) {
			assertRefusesKey(t, open(t, fleet.Proxies[0], nil), refused.text)
		})
	}
	t.Run("is refused in a transaction, which ends", func(t *testing.T) {
		session := open(t, fleet.Proxies[0], nil)
		mustRun(t, session, "BEGIN")
		assertRefusesKey(t, session, withKey("inside", insert))
	})
}

// keyedCallers insert rows under idempotency keys, and send each again, through
// another proxy, until they are told that it ran.
type keyedCallers struct {
	callerPool

	fleet        *ctfleet.Fleet
	mutex        sync.Mutex
	acknowledged []string
	duplicates   int
}

func startKeyedCallers(fleet *ctfleet.Fleet, count int) *keyedCallers {
	c := &keyedCallers{fleet: fleet}
	c.start(count, c.runCaller)
	return c
}

func (c *keyedCallers) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.acknowledged)
}

func (c *keyedCallers) awaitMore(t *testing.T, more int) {
	t.Helper()
	awaitCount(t, "more keyed writes ran", c.count, more)
}

func (c *keyedCallers) runCaller(number int) {
	proxyIndex := number
	for sequence := 0; !c.stopped(); sequence++ {
		key := fmt.Sprintf("keyed-%d-%d", number, sequence)
		for !c.insert(key, proxyIndex) && !c.stopped() {
			proxyIndex++
		}
	}
}

// insert sends one request and reports whether the caller was told that it ran.
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

// assertRanOnce checks that each request that callers were told of ran once.
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
			t.Errorf("request %s ran %d times in the log of %s", key, logged[key], primary.Name)
		}
	}
	t.Logf("%d requests ran; callers were told of %d that they ran before", len(c.acknowledged), c.duplicates)
}

// TestKeyedRequestsRunOnce checks that requests with keys run once although
// their callers, and the proxies, send them again after lost answers.
func TestKeyedRequestsRunOnce(t *testing.T) {
	t.Run("the primary is killed while its answers are delayed", func(t *testing.T) {
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
	t.Run("the holder is killed again and again", func(t *testing.T) {
		shape := smallFleet()
		shape.Proxies = 2
		fleet := start(t, shape)
		callers := startKeyedCallers(fleet, callerCount)
		for _, holder := range fleet.ProxiesAt(sites[0]) {
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
