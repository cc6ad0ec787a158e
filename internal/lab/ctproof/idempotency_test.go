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

// ranBefore reports whether an error tells that the request ran when it was sent
// earlier.
func ranBefore(err error) bool {
	var failure *pgconn.PgError
	return errors.As(err, &failure) && strings.Contains(failure.Detail, "reason=ran_before")
}

// assertRefusesKey checks that a keyed text is refused and did not run.
func assertRefusesKey(t *testing.T, session *pgconn.PgConn, text string) {
	t.Helper()
	_, err := run(session, text)
	assert.ErrorContains(t, err, "idempotency key not usable")
	assert.Equal(t, classify(err), toldNotRun)
}

func TestIdempotencyKey(t *testing.T) {
	fleet := start(t, smallFleet())
	insert := "INSERT INTO tests (key, value) VALUES ('m8', '21.5')"
	t.Run("makes a request run once", func(t *testing.T) {
		must(t, open(t, fleet.Proxies[0], nil), withKey("once", insert))
		again := open(t, fleet.Proxies[1], nil)
		_, err := run(again, withKey("once", insert))
		assert.Assert(t, ranBefore(err), "%v", err)
		moved := open(t, fleet.Proxies[2], parameters{"cherviltrestle.token": tokenOf(again)})
		assert.DeepEqual(t, must(t, moved, "SELECT count(*) FROM tests WHERE key = 'm8'"), []string{"1"})
	})
	t.Run("leaves no record of a request that failed", func(t *testing.T) {
		session := open(t, fleet.Proxies[0], nil)
		_, err := run(session, withKey("failed", "SELECT 1/0"))
		assert.ErrorContains(t, err, "division by zero")
		must(t, session, withKey("failed", "INSERT INTO tests (key, value) VALUES ('m9', '22')"))
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
		must(t, session, "BEGIN")
		assertRefusesKey(t, session, withKey("inside", insert))
	})
}

// keyedCallers insert rows under idempotency keys, and send each again, through
// another proxy, until they are told that it ran.
type keyedCallers struct {
	crowd

	fleet *ctfleet.Fleet
	mutex sync.Mutex
	ran   []string
	again int
}

func workKeyed(fleet *ctfleet.Fleet, count int) *keyedCallers {
	c := &keyedCallers{fleet: fleet}
	c.start(count, c.call)
	return c
}

func (c *keyedCallers) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.ran)
}

func (c *keyedCallers) awaitMore(t *testing.T, more int) {
	t.Helper()
	awaitCount(t, "more keyed writes ran", c.count, more)
}

func (c *keyedCallers) call(number int) {
	turn := number
	for sequence := 0; !c.stopped(); sequence++ {
		key := fmt.Sprintf("keyed-%d-%d", number, sequence)
		for !c.insert(key, turn) && !c.stopped() {
			turn++
		}
	}
}

// insert sends one request and reports whether the caller was told that it ran.
func (c *keyedCallers) insert(key string, turn int) bool {
	proxy := c.fleet.Proxies[turn%len(c.fleet.Proxies)]
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
	if err != nil && !ranBefore(err) {
		return false
	}
	if err != nil {
		c.again++
	}
	c.ran = append(c.ran, key)
	return true
}

// assertOnce checks that each request that callers were told of ran once.
func assertOnce(t *testing.T, c *keyedCallers, primary *ctfleet.Process) {
	t.Helper()
	entries, err := c.fleet.Log(primary)
	assert.NilError(t, err)
	times := make(map[string]int)
	for _, e := range entries {
		if e.Table == "tests" {
			times[e.Key]++
		}
	}
	for _, key := range c.ran {
		if times[key] != 1 {
			t.Errorf("request %s ran %d times in the log of %s", key, times[key], primary.Name)
		}
	}
	t.Logf("%d requests ran; callers were told of %d that they ran before", len(c.ran), c.again)
}

// TestKeyedRequestsRunOnce checks that requests with keys run once although
// their callers, and the proxies, send them again after lost answers.
func TestKeyedRequestsRunOnce(t *testing.T) {
	t.Run("the primary is killed while its answers are delayed", func(t *testing.T) {
		fleet := start(t, smallFleet())
		callers := workKeyed(fleet, someCallers)
		callers.awaitMore(t, someWrites)
		for _, m := range fleet.Members[group][1:] {
			assert.NilError(t, fleet.SetFaults(m, ctstandin.Faults{ReceiveLag: 50}))
		}
		callers.awaitMore(t, someCallers)
		fleet.Members[group][0].Kill()
		primary := awaitPrimary(t, fleet, fleet.Proxies[1], fleet.Members[group][0])
		callers.awaitMore(t, someWrites)
		callers.end()
		assertOnce(t, callers, primary)
	})
	t.Run("the holder is killed again and again", func(t *testing.T) {
		shape := smallFleet()
		shape.Proxies = 2
		fleet := start(t, shape)
		callers := workKeyed(fleet, someCallers)
		for _, holder := range fleet.ProxiesAt(sites[0]) {
			callers.awaitMore(t, someWrites)
			holder.Kill()
			callers.awaitMore(t, someWrites)
			assert.NilError(t, holder.Start())
			assert.NilError(t, fleet.AwaitHeld())
		}
		callers.end()
		assertOnce(t, callers, awaitPrimary(t, fleet, fleet.Proxies[2], nil))
	})
}
