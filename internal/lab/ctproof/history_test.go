package ctproof

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
)

const (
	historyKeys    = 3
	historyCallers = 5
	historyWrites  = 40
	// firstValue is the value of every key at the start.
	firstValue = "first"
)

// access is one read or write of a key. The value is only used by writes.
type access struct {
	key   int
	write bool
	value string
}

// registerModel is the sequential model that histories are checked against. Each
// key is a register, and a read returns the value of the last write. A history is
// linearizable if it fits the model when every access takes effect at one moment
// between its call and its return.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make([][]porcupine.Operation, historyKeys)
		for _, o := range history {
			if a, ok := o.Input.(access); ok {
				byKey[a.key] = append(byKey[a.key], o)
			}
		}
		return byKey
	},
	Init: func() any { return firstValue },
	Step: func(state, input, output any) (bool, any) {
		a, ok := input.(access)
		if !ok {
			return false, state
		}
		if a.write {
			return true, a.value
		}
		return output == state, state
	},
}

// history records the accesses of concurrent callers and their results.
type history struct {
	callerPool

	fleet     *ctfleet.Fleet
	startedAt time.Time

	mutex      sync.Mutex
	operations []porcupine.Operation
	// unknownWrites are the writes with an unknown outcome. They may take effect
	// at any later time.
	unknownWrites      []porcupine.Operation
	acknowledgedWrites int
}

// startHistory inserts the keys and starts the callers. The seed determines which
// accesses the callers choose.
func startHistory(t *testing.T, fleet *ctfleet.Fleet, seed uint64) *history {
	t.Helper()
	session := open(t, fleet.Proxies[0], nil)
	for key := range historyKeys {
		mustRun(t, session, fmt.Sprintf("INSERT INTO charts (key, value) VALUES ('k%d', '%s')", key, firstValue))
	}
	h := &history{fleet: fleet, startedAt: time.Now()}
	h.start(historyCallers, func(number int) {
		h.runCaller(number, rand.New(rand.NewPCG(seed, uint64(number))))
	})
	return h
}

// runCaller performs random accesses until the callers are stopped. It dials a
// random proxy whenever its session is lost.
func (h *history) runCaller(number int, random *rand.Rand) {
	var session *pgconn.PgConn
	for sequence := 0; !h.stopped(); sequence++ {
		if session == nil || session.IsClosed() {
			proxy := h.fleet.Proxies[random.IntN(len(h.fleet.Proxies))]
			next, err := dial(proxy, nil)
			if err != nil {
				continue
			}
			session = next
		}
		a := access{key: random.IntN(historyKeys), write: random.IntN(2) == 0}
		a.value = fmt.Sprintf("%d-%d", number, sequence)
		h.perform(number, session, a)
	}
}

// perform performs one access and records its result. A write that was reported as
// not run is left out, so a read that returns its value makes the history not
// linearizable. A read that failed is left out, too.
func (h *history) perform(caller int, session *pgconn.PgConn, a access) {
	text := fmt.Sprintf("SELECT value FROM charts WHERE key = 'k%d'", a.key)
	if a.write {
		text = fmt.Sprintf("UPDATE charts SET value = '%s' WHERE key = 'k%d'", a.value, a.key)
	}
	o := porcupine.Operation{ClientId: caller, Input: a, Call: h.now()}
	values, err := run(session, text)
	o.Return = h.now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case err == nil && a.write:
		h.acknowledgedWrites++
		h.operations = append(h.operations, o)
	case err == nil && len(values) == 1:
		o.Output = values[0]
		h.operations = append(h.operations, o)
	case a.write && classify(err) == outcomeUnknown:
		h.unknownWrites = append(h.unknownWrites, o)
	}
}

// now returns the nanoseconds since the start of the history.
func (h *history) now() int64 {
	return time.Since(h.startedAt).Nanoseconds()
}

// awaitWrites waits until the number of acknowledged writes has grown by more.
func (h *history) awaitWrites(t *testing.T, more int) {
	t.Helper()
	awaitCount(t, "more writes are acknowledged", func() int {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		return h.acknowledgedWrites
	}, more)
}

// assertLinearizable stops the callers and checks that the history is
// linearizable. Each write with an unknown outcome counts as concurrent with
// everything after its call, so each gets its own client and returns at the end.
func assertLinearizable(t *testing.T, h *history) {
	t.Helper()
	h.stopAndWait()
	end := h.now()
	for i, o := range h.unknownWrites {
		o.ClientId = historyCallers + i
		o.Return = end
		h.operations = append(h.operations, o)
	}
	t.Logf("%d accesses, %d of unknown outcome", len(h.operations), len(h.unknownWrites))
	assert.Assert(t, porcupine.CheckOperations(registerModel, h.operations), "the history is not linearizable")
}

// historyFailures are the failures that are injected while a history is recorded.
// Their order determines the seeds.
var historyFailures = []struct {
	name   string
	inject func(t *testing.T, fleet *ctfleet.Fleet, h *history)
}{
	{"the primary killed while replicas lag", func(t *testing.T, fleet *ctfleet.Fleet, h *history) {
		t.Helper()
		for _, m := range fleet.Members[group][1:] {
			assert.NilError(t, fleet.SetFaults(m, ctstandin.Faults{ReceiveLag: 30}))
		}
		h.awaitWrites(t, historyCallers)
		fleet.Members[group][0].Kill()
	}},
	{"the primary isolated with its callers", func(t *testing.T, fleet *ctfleet.Fleet, _ *history) {
		t.Helper()
		isolate(t, fleet)
	}},
	{"the primary and its holder paused", func(t *testing.T, fleet *ctfleet.Fleet, _ *history) {
		t.Helper()
		fleet.Proxies[0].Pause()
		fleet.Members[group][0].Pause()
		awaitPrimary(t, fleet, fleet.Proxies[1], fleet.Members[group][0])
		fleet.Members[group][0].Resume()
		fleet.Proxies[0].Resume()
	}},
	{"the primary leaving", func(t *testing.T, fleet *ctfleet.Fleet, _ *history) {
		t.Helper()
		assert.NilError(t, fleet.SetFaults(fleet.Members[group][0], ctstandin.Faults{Leaving: true}))
	}},
}

// TestLinearizability checks that reads and writes at the primary stay linearizable
// during failures. An old primary that still serves reads, or a write that takes
// effect although it was reported as not run, makes the history not linearizable.
// The seeds determine what callers do; the interleaving of their accesses differs
// from run to run.
func TestLinearizability(t *testing.T) {
	for i, f := range historyFailures {
		seed := uint64(i + 1)
		t.Run(f.name, func(t *testing.T) {
			t.Logf("seed %d", seed)
			shape := controlOutsideFirstDomain()
			shape.Config = primaryReadsConfig
			fleet := start(t, shape)
			h := startHistory(t, fleet, seed)
			h.awaitWrites(t, historyWrites)
			f.inject(t, fleet, h)
			awaitPrimary(t, fleet, fleet.Proxies[1], fleet.Members[group][0])
			h.awaitWrites(t, historyWrites)
			assertLinearizable(t, h)
		})
	}
}
