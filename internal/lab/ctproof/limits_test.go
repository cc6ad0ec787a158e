package ctproof

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

func contains(text, part string) bool {
	return strings.Contains(text, part)
}

// lowLimitFleet is a fleet with two proxies in each failure domain. Its members have
// few slots and connections, and connects and statements are slow.
func lowLimitFleet() ctfleet.Shape {
	shape := smallFleet()
	shape.Proxies = 2
	shape.Slots = 2
	shape.Connections = 8
	shape.ConnectDelay = 12 * time.Millisecond
	shape.StatementDelay = 2 * time.Millisecond
	return shape
}

// TestLimits checks that proxies never exceed a member's slots or connections, also
// while another proxy takes over as holder. The members count violations, and
// stopAndCheck checks the counters at the end of each subtest.
func TestLimits(t *testing.T) {
	t.Run("under many callers", func(t *testing.T) {
		fleet := start(t, lowLimitFleet())
		callers := startCallers(fleet, 40, false)
		callers.awaitMore(t, 300)
		callers.stopAndWait()
		assertOutcomesMatchLog(t, callers, fleet.Members[group][0])
	})
	t.Run("during a planned stop of the holder", func(t *testing.T) {
		fleet := start(t, lowLimitFleet())
		holder := holderOf(t, fleet, fleet.Members[group][0])
		callers := startCallers(fleet, 20, false)
		callers.awaitMore(t, writeCount)
		assert.Assert(t, holder.Stop(callTimeout), "the holder did not stop")
		callers.awaitMore(t, 200)
		callers.stopAndWait()
		assertOutcomesMatchLog(t, callers, fleet.Members[group][0])
	})
	t.Run("when the holder is killed", func(t *testing.T) {
		fleet := start(t, lowLimitFleet())
		holder := holderOf(t, fleet, fleet.Members[group][0])
		callers := startCallers(fleet, 20, false)
		callers.awaitMore(t, writeCount)
		holder.Kill()
		callers.awaitMore(t, 200)
		callers.stopAndWait()
		primary := awaitPrimary(t, fleet, runningProxy(fleet), nil)
		assertOutcomesMatchLog(t, callers, primary)
	})
	t.Run("with more open transactions than connections", func(t *testing.T) {
		fleet := start(t, lowLimitFleet())
		var done sync.WaitGroup
		for i := range 20 {
			done.Add(1)
			go func() {
				defer done.Done()
				session, err := dial(fleet.Proxies[i%len(fleet.Proxies)], nil)
				if err != nil {
					t.Error(err)
					return
				}
				for _, text := range []string{"BEGIN", "SELECT 1", "SELECT pg_sleep(0.05)", "COMMIT"} {
					if _, err := run(session, text); err != nil {
						t.Errorf("%s: %v", text, err)
						return
					}
				}
			}()
		}
		done.Wait()
	})
}

// TestConnectionsAreReset checks that a connection's state is reset before another
// session's transaction uses it. The stand-in backend server keeps SET LOCAL beyond
// the transaction, and both transactions use the same connection: without a reset
// the second one would be read-only.
func TestConnectionsAreReset(t *testing.T) {
	shape := smallFleet()
	shape.Slots, shape.Connections = 1, 3
	fleet := start(t, shape)
	first, second := open(t, fleet.Proxies[0], nil), open(t, fleet.Proxies[0], nil)
	mustRun(t, first, "BEGIN")
	mustRun(t, first, "SET LOCAL default_transaction_read_only = on")
	mustRun(t, first, "COMMIT")
	mustRun(t, second, "INSERT INTO charts (key, value) VALUES ('m8', '1')")
}

// runningProxy returns the first running proxy, or nil if none runs.
func runningProxy(fleet *ctfleet.Fleet) *ctfleet.Process {
	for _, p := range fleet.Proxies {
		if p.Running() {
			return p
		}
	}
	return nil
}

// holderOf returns the proxy that holds a member.
func holderOf(t *testing.T, fleet *ctfleet.Fleet, member *ctfleet.Process) *ctfleet.Process {
	t.Helper()
	for _, p := range fleet.Proxies {
		reports, err := fleet.HeldMembers(p)
		assert.NilError(t, err)
		for _, report := range reports {
			if string(report.Member) == member.Name && !report.Draining {
				return p
			}
		}
	}
	t.Fatalf("no proxy holds %s", member.Name)
	return nil
}
