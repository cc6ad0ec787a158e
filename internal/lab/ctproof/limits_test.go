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

// scarceFleet has two proxies in each failure domain and members with few slots.
func scarceFleet() ctfleet.Shape {
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
		fleet := start(t, scarceFleet())
		callers := work(fleet, 40, false)
		callers.awaitMore(t, 300)
		callers.end()
		assertTruthful(t, callers, fleet.Members[group][0])
	})
	t.Run("while the holder stops as planned", func(t *testing.T) {
		fleet := start(t, scarceFleet())
		holder := holderOf(t, fleet, fleet.Members[group][0])
		callers := work(fleet, 20, false)
		callers.awaitMore(t, someWrites)
		assert.Assert(t, holder.Stop(callTime), "the holder did not stop")
		callers.awaitMore(t, 200)
		callers.end()
		assertTruthful(t, callers, fleet.Members[group][0])
	})
	t.Run("while the holder is killed", func(t *testing.T) {
		fleet := start(t, scarceFleet())
		holder := holderOf(t, fleet, fleet.Members[group][0])
		callers := work(fleet, 20, false)
		callers.awaitMore(t, someWrites)
		holder.Kill()
		callers.awaitMore(t, 200)
		callers.end()
		primary := awaitPrimary(t, fleet, running(fleet), nil)
		assertTruthful(t, callers, primary)
	})
	t.Run("with more open transactions than connections", func(t *testing.T) {
		fleet := start(t, scarceFleet())
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
	must(t, first, "BEGIN")
	must(t, first, "SET LOCAL default_transaction_read_only = on")
	must(t, first, "COMMIT")
	must(t, second, "INSERT INTO charts (key, value) VALUES ('m8', '1')")
}

// running returns a proxy that runs.
func running(fleet *ctfleet.Fleet) *ctfleet.Process {
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
		accounts, err := fleet.HeldMembers(p)
		assert.NilError(t, err)
		for _, h := range accounts {
			if string(h.Member) == member.Name && !h.Draining {
				return p
			}
		}
	}
	t.Fatalf("nobody holds %s", member.Name)
	return nil
}
