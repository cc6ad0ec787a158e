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

// The sizes of a history.
const (
	historyKeys    = 3
	historyCallers = 5
	historyWrites  = 40
	// firstValue is that of every key at the start.
	firstValue = "first"
)

// access reads or writes one key.
type access struct {
	key   int
	write bool
	value string
}

// registerModel is the model that histories are judged by: each key is a register,
// and every access takes effect at one moment between its call and its return.
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

// history is what concurrent callers did and were told.
type history struct {
	callerPool

	fleet     *ctfleet.Fleet
	startedAt time.Time

	mutex      sync.Mutex
	operations []porcupine.Operation
	// unknownWrites are the writes whose outcome is unknown: they may take effect at any
	// later time.
	unknownWrites      []porcupine.Operation
	acknowledgedWrites int
}

// startHistory starts callers whose choices follow from the seed.
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

// perform performs one access and notes what came of it. What was told not to
// have run is left out: a read that shows it has no place in the history.
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

func (h *history) now() int64 {
	return time.Since(h.startedAt).Nanoseconds()
}

func (h *history) awaitWrites(t *testing.T, more int) {
	t.Helper()
	awaitCount(t, "more accesses", func() int {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		return h.acknowledgedWrites
	}, more)
}

// assertLinearizable ends the callers and judges the history.
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

// historyFailures are what a history is recorded under.
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
	{"the primary cut off with its callers", func(t *testing.T, fleet *ctfleet.Fleet, _ *history) {
		t.Helper()
		isolate(t, fleet)
	}},
	{"the primary and its holder frozen", func(t *testing.T, fleet *ctfleet.Fleet, _ *history) {
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

// TestLinearizability checks that reads and writes at the primary are linearizable
// through failures. Its seeds choose what callers do; the order in which their
// accesses meet differs from run to run.
func TestLinearizability(t *testing.T) {
	for i, f := range historyFailures {
		seed := uint64(i + 1)
		t.Run(f.name, func(t *testing.T) {
			t.Logf("seed %d", seed)
			shape := controlOutsideFirstSite()
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
