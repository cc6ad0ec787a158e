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

// lowLimitFleet has two proxies in each failure domain and members with few slots.
func lowLimitFleet() ctfleet.Shape {
	shape := smallFleet()
	shape.Proxies = 2
	shape.Slots = 2
	shape.Connections = 8
	shape.ConnectDelay = 12 * time.Millisecond
	shape.StatementDelay = 2 * time.Millisecond
	return shape
}

// TestLimits checks, through the check at the end of each proof, that members'
// limits are kept.
func TestLimits(t *testing.T) {
	t.Run("under many callers", func(t *testing.T) {
		fleet := start(t, lowLimitFleet())
		callers := startCallers(fleet, 40, false)
		callers.awaitMore(t, 300)
		callers.stopAndWait()
		assertOutcomesMatchLog(t, callers, fleet.Members[group][0])
	})
	t.Run("while the holder stops as planned", func(t *testing.T) {
		fleet := start(t, lowLimitFleet())
		holder := holderOf(t, fleet, fleet.Members[group][0])
		callers := startCallers(fleet, 20, false)
		callers.awaitMore(t, writeCount)
		assert.Assert(t, holder.Stop(callTimeout), "the holder did not stop")
		callers.awaitMore(t, 200)
		callers.stopAndWait()
		assertOutcomesMatchLog(t, callers, fleet.Members[group][0])
	})
	t.Run("while the holder is killed", func(t *testing.T) {
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

// TestConnectionsAreReset checks that a transaction finds nothing of what an
// earlier one left on the connection that both got.
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

// runningProxy returns a proxy that runs.
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
	t.Fatalf("nobody holds %s", member.Name)
	return nil
}
