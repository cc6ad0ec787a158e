package ctproof

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
)

// shortTransactionConfig ends a transaction that idles for 500 ms.
const shortTransactionConfig = `
defaults:
  sessions:
    transaction_timeout: 500ms
groups:
  - name: fit-registry
    size: 3
`

// TestPlannedStop checks that a planned stop of a proxy lets open transactions and
// running requests complete. It must also end when a caller leaves its transaction
// open, and under load it leaves no outcome unknown.
func TestPlannedStop(t *testing.T) {
	t.Run("interrupts no request and no transaction", func(t *testing.T) {
		fleet := start(t, smallFleet())
		proxy := fleet.Proxies[1]
		inFlight := open(t, proxy, nil)
		inTransaction := open(t, proxy, nil)
		mustRun(t, inTransaction, "BEGIN")
		mustRun(t, inTransaction, "INSERT INTO charts (key, value) VALUES ('m8', '21.5')")
		var done sync.WaitGroup
		done.Add(1)
		go func() {
			defer done.Done()
			_, err := run(inFlight, "SELECT pg_sleep(0.6)")
			assert.Check(t, err)
		}()
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan bool, 1)
		go func() { stopped <- proxy.Stop(callTimeout) }()
		done.Wait()
		mustRun(t, inTransaction, "COMMIT")
		assert.Assert(t, <-stopped, "the proxy did not stop")
		assertReads(t, fleet.Proxies[0], startupParameters{"cherviltrestle.token": tokenOf(inTransaction)}, "21.5")
	})
	t.Run("ends although a caller never ends its transaction", func(t *testing.T) {
		shape := smallFleet()
		shape.Config = shortTransactionConfig
		fleet := start(t, shape)
		idle := open(t, fleet.Proxies[1], nil)
		mustRun(t, idle, "BEGIN")
		assert.Assert(t, fleet.Proxies[1].Stop(callTimeout), "the proxy did not stop")
	})
	t.Run("answers requests that run longer than the stop may take", func(t *testing.T) {
		shape := smallFleet()
		shape.StopTimeout = 3 * time.Second
		fleet := start(t, shape)
		single, inTransaction := open(t, fleet.Proxies[1], nil), open(t, fleet.Proxies[1], nil)
		mustRun(t, inTransaction, "BEGIN")
		var done sync.WaitGroup
		for _, session := range []*pgconn.PgConn{single, inTransaction} {
			done.Add(1)
			go func() {
				defer done.Done()
				_, err := run(session, "SELECT pg_sleep(8)")
				var answer *pgconn.PgError
				assert.Check(t, errors.As(err, &answer), "no answer: %v", err)
			}()
		}
		time.Sleep(100 * time.Millisecond)
		fleet.Proxies[1].Stop(callTimeout)
		done.Wait()
	})
	t.Run("of all proxies, one after the other, under load", func(t *testing.T) {
		shape := smallFleet()
		shape.Proxies = 2
		fleet := start(t, shape)
		callers := startCallers(fleet, callerCount, true)
		for _, proxy := range fleet.Proxies {
			callers.awaitMore(t, writeCount)
			assert.Assert(t, proxy.Stop(callTimeout), "the proxy did not stop")
			assert.NilError(t, proxy.Start())
			assert.NilError(t, fleet.AwaitHeld())
		}
		callers.stopAndWait()
		assert.Equal(t, callers.count(outcomeUnknown), 0, "a planned stop left outcomes unknown: %v", callers.unknownErrors)
		primary := awaitPrimary(t, fleet, fleet.Proxies[0], nil)
		assertOutcomesMatchLog(t, callers, primary)
	})
}

// TestLeavingMemberGetsNoNewWork checks that proxies send no reads to a replica that
// announced that it is leaving. Reads that it received would fail when it stops.
func TestLeavingMemberGetsNoNewWork(t *testing.T) {
	fleet := start(t, smallFleet())
	leaving := fleet.Members[group][1]
	assert.NilError(t, fleet.SetFaults(leaving, ctstandin.Faults{Leaving: true}))
	assert.NilError(t, ctfleet.WaitUntil("every proxy's view shows the member as leaving", func() bool {
		return leavingInAllViews(fleet, leaving)
	}))
	assertNoNewWork(t, fleet, leaving)
}

// assertNoNewWork checks that no proxy sends reads to the leaving member.
func assertNoNewWork(t *testing.T, fleet *ctfleet.Fleet, leaving *ctfleet.Process) {
	t.Helper()
	before, err := fleet.Counters(leaving)
	assert.NilError(t, err)
	for _, proxy := range fleet.Proxies {
		session := open(t, proxy, nil)
		for range 20 {
			mustRun(t, session, selectM8)
		}
	}
	after, err := fleet.Counters(leaving)
	assert.NilError(t, err)
	assert.Equal(t, after.Statements, before.Statements, "a leaving member got new work")
}

// TestLeavingPrimary checks that a primary that announces that it is leaving is
// replaced by a handover. Open transactions complete first, other requests only wait,
// and the old primary gets no new work. A handover that starts too early would abort
// transactions; one that waits for every transaction might never end.
func TestLeavingPrimary(t *testing.T) {
	t.Run("interrupts no request and no transaction", func(t *testing.T) {
		fleet := start(t, smallFleet())
		leaving := fleet.Members[group][0]
		inTransaction := open(t, fleet.Proxies[1], nil)
		mustRun(t, inTransaction, "BEGIN")
		mustRun(t, inTransaction, "INSERT INTO charts (key, value) VALUES ('m8', '21.5')")
		callers := startCallers(fleet, callerCount, true)
		callers.awaitMore(t, writeCount)
		assert.NilError(t, fleet.SetFaults(leaving, ctstandin.Faults{Leaving: true}))
		assert.NilError(t, ctfleet.WaitUntil("every proxy's view shows the primary as leaving", func() bool {
			return leavingInAllViews(fleet, leaving)
		}))
		mustRun(t, inTransaction, "COMMIT")
		primary := awaitPrimary(t, fleet, fleet.Proxies[0], leaving)
		callers.awaitMore(t, writeCount)
		callers.stopAndWait()
		assert.Equal(t, callers.count(outcomeUnknown), 0, "a handover left outcomes unknown: %v", callers.unknownErrors)
		assert.Equal(t, callers.count(outcomeNotRun), 0, "a handover refused requests")
		assertOutcomesMatchLog(t, callers, primary)
		assertReads(t, fleet.Proxies[2], startupParameters{"cherviltrestle.token": tokenOf(inTransaction)}, "21.5")
		assertNoNewWork(t, fleet, leaving)
	})
	t.Run("is replaced although control's leader is killed meanwhile", func(t *testing.T) {
		fleet := start(t, quorumFleet())
		awaitVoters(t, fleet)
		leaving := fleet.Members[group][0]
		callers := startCallers(fleet, callerCount, true)
		callers.awaitMore(t, writeCount)
		leader, err := fleet.Leader()
		assert.NilError(t, err)
		assert.NilError(t, fleet.SetFaults(leaving, ctstandin.Faults{Leaving: true}))
		leader.Kill()
		primary := awaitPrimary(t, fleet, fleet.Proxies[0], leaving)
		callers.awaitMore(t, writeCount)
		callers.stopAndWait()
		assertOutcomesMatchLog(t, callers, primary)
	})
	t.Run("is replaced although a caller never ends its transaction", func(t *testing.T) {
		shape := smallFleet()
		shape.Config = shortHandoverConfig
		fleet := start(t, shape)
		leaving := fleet.Members[group][0]
		idle := open(t, fleet.Proxies[1], nil)
		mustRun(t, idle, "BEGIN")
		mustRun(t, idle, "INSERT INTO charts (key, value) VALUES ('m8', 'never')")
		assert.NilError(t, fleet.SetFaults(leaving, ctstandin.Faults{Leaving: true}))
		awaitPrimary(t, fleet, fleet.Proxies[0], leaving)
		mustRun(t, open(t, fleet.Proxies[0], nil), "INSERT INTO charts (key, value) VALUES ('m8', '21.5')")
		_, err := run(idle, "COMMIT")
		assert.Assert(t, err != nil, "a transaction of the replaced primary was committed")
		assertReads(t, fleet.Proxies[1], nil, "21.5")
	})
}

// shortHandoverConfig allows a leaving primary only 100 ms to complete open
// transactions.
const shortHandoverConfig = `
defaults:
  failovers:
    handover_time: 100ms
  reads:
    plain_selects: primary
groups:
  - name: fit-registry
    size: 3
`

// leavingInAllViews reports whether the views of all proxies show the member as
// leaving. It returns false if a proxy does not answer.
func leavingInAllViews(fleet *ctfleet.Fleet, member *ctfleet.Process) bool {
	for _, p := range fleet.Proxies {
		view, err := fleet.View(p)
		if err != nil {
			return false
		}
		for _, m := range view.Members {
			if string(m.Member) == member.Name && m.State != "leaving" {
				return false
			}
		}
	}
	return true
}
