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

// registers is the model that histories are judged by: each key is a register,
// and every access takes effect at one moment between its call and its return.
var registers = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, historyKeys)
		for _, o := range history {
			if a, ok := o.Input.(access); ok {
				parts[a.key] = append(parts[a.key], o)
			}
		}
		return parts
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
	crowd

	fleet *ctfleet.Fleet
	began time.Time

	mutex      sync.Mutex
	operations []porcupine.Operation
	// open are the writes whose outcome is unknown: they may take effect at any
	// later time.
	open   []porcupine.Operation
	writes int
}

// beginHistory starts callers whose choices follow from the seed.
func beginHistory(t *testing.T, fleet *ctfleet.Fleet, seed uint64) *history {
	t.Helper()
	session := open(t, fleet.Proxies[0], nil)
	for key := range historyKeys {
		must(t, session, fmt.Sprintf("INSERT INTO charts (key, value) VALUES ('k%d', '%s')", key, firstValue))
	}
	h := &history{fleet: fleet, began: time.Now()}
	h.start(historyCallers, func(number int) {
		h.call(number, rand.New(rand.NewPCG(seed, uint64(number))))
	})
	return h
}

func (h *history) call(number int, random *rand.Rand) {
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
		h.access(number, session, a)
	}
}

// access performs one access and notes what came of it. What was told not to
// have run is left out: a read that shows it has no place in the history.
func (h *history) access(caller int, session *pgconn.PgConn, a access) {
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
		h.writes++
		h.operations = append(h.operations, o)
	case err == nil && len(values) == 1:
		o.Output = values[0]
		h.operations = append(h.operations, o)
	case a.write && classify(err) == toldUnknown:
		h.open = append(h.open, o)
	}
}

func (h *history) now() int64 {
	return time.Since(h.began).Nanoseconds()
}

func (h *history) awaitMore(t *testing.T, more int) {
	t.Helper()
	awaitCount(t, "more accesses", func() int {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		return h.writes
	}, more)
}

// assertLinearizable ends the callers and judges the history.
func assertLinearizable(t *testing.T, h *history) {
	t.Helper()
	h.end()
	end := h.now()
	for i, o := range h.open {
		o.ClientId = historyCallers + i
		o.Return = end
		h.operations = append(h.operations, o)
	}
	t.Logf("%d accesses, %d of unknown outcome", len(h.operations), len(h.open))
	assert.Assert(t, porcupine.CheckOperations(registers, h.operations), "the history is not linearizable")
}

// failures are what a history is recorded under.
var failures = []struct {
	name  string
	bring func(t *testing.T, fleet *ctfleet.Fleet, h *history)
}{
	{"the primary killed while replicas lag", func(t *testing.T, fleet *ctfleet.Fleet, h *history) {
		t.Helper()
		for _, m := range fleet.Members[group][1:] {
			assert.NilError(t, fleet.SetFaults(m, ctstandin.Faults{ReceiveLag: 30}))
		}
		h.awaitMore(t, historyCallers)
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

// TestHistories checks that reads and writes at the primary are linearizable
// through failures. Its seeds choose what callers do; the order in which their
// accesses meet differs from run to run.
func TestHistories(t *testing.T) {
	for i, f := range failures {
		seed := uint64(i + 1)
		t.Run(f.name, func(t *testing.T) {
			t.Logf("seed %d", seed)
			shape := controlElsewhere()
			shape.Config = readsAtPrimary
			fleet := start(t, shape)
			h := beginHistory(t, fleet, seed)
			h.awaitMore(t, historyWrites)
			f.bring(t, fleet, h)
			awaitPrimary(t, fleet, fleet.Proxies[1], fleet.Members[group][0])
			h.awaitMore(t, historyWrites)
			assertLinearizable(t, h)
		})
	}
}
