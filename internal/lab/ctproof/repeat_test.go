package ctproof

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/cttext"
)

// Settings of TestRepeatedAnswers.
const (
	// repeatEvery makes each backend server send every third of its answers twice.
	repeatEvery = 3
	// repeatKeys is how many rows there are, each with a text of its own.
	repeatKeys = 12
	// repeatSessions is how many sessions each subtest opens, and repeatReads how many reads
	// each of them sends.
	repeatSessions = 6
	repeatReads    = 20
)

// insertTexts inserts repeatKeys rows and returns their texts by key.
func insertTexts(t *testing.T, fleet *ctfleet.Fleet, random *rand.Rand) []string {
	t.Helper()
	writer := open(t, fleet.Proxies[0], nil)
	var texts []string
	for key := range repeatKeys {
		texts = append(texts, fmt.Sprintf("%d", key)+cttext.Printable(random))
		mustRun(t, writer, fmt.Sprintf("INSERT INTO charts (key, value) VALUES ('k%d', %s)", key, cttext.Quote(texts[key])))
	}
	return texts
}

// readTexts reads random rows and returns how many reads succeeded. A success with another
// text than that of the row fails the test.
func readTexts(t *testing.T, session *pgconn.PgConn, random *rand.Rand, texts []string) int {
	t.Helper()
	succeeded := 0
	for range repeatReads {
		if session.IsClosed() {
			return succeeded
		}
		key := random.IntN(repeatKeys)
		values, err := run(session, fmt.Sprintf("SELECT value FROM charts WHERE key = 'k%d'", key))
		if err != nil {
			continue
		}
		succeeded++
		if len(values) != 1 || values[0] != texts[key] {
			t.Errorf("the row k%d contains %q and was read as %q", key, texts[key], values)
		}
	}
	return succeeded
}

// assertOwnTexts opens sessions that read rows, and checks that reads without an error return
// the right ones and that some succeed. If inTransaction is set, each session reads in one
// transaction.
func assertOwnTexts(t *testing.T, fleet *ctfleet.Fleet, seed uint64, texts []string, parameters startupParameters,
	inTransaction bool,
) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	succeeded := 0
	for i := range repeatSessions {
		session := open(t, fleet.Proxies[i%len(fleet.Proxies)], parameters)
		if inTransaction {
			if _, err := run(session, "BEGIN READ ONLY"); err != nil {
				continue
			}
		}
		succeeded += readTexts(t, session, random, texts)
	}
	t.Logf("%d of %d reads succeeded", succeeded, repeatSessions*repeatReads)
	assert.Assert(t, succeeded > 0, "every read failed")
}

// TestRepeatedAnswers guards against giving a caller the answer to another request: backend
// servers send answers twice, the second time before the answer to a later request. The texts
// contain line ends, blanks and control characters and must be read back unchanged. The
// judge compares texts; the messages are decoded by the pgproto3 library, as in the proxies.
func TestRepeatedAnswers(t *testing.T) {
	const seed = 35
	fleet := start(t, smallFleet())
	texts := insertTexts(t, fleet, rand.New(rand.NewPCG(seed, 0)))
	assert.NilError(t, fleet.AwaitReady())
	t.Run("any text is read back unchanged", func(t *testing.T) {
		assertOwnTexts(t, fleet, seed, texts, nil, false)
	})
	for _, m := range fleet.Members[group] {
		assert.NilError(t, fleet.SetFaults(m, ctstandin.Faults{RepeatEvery: repeatEvery}))
	}
	t.Run("from replicas", func(t *testing.T) {
		assertOwnTexts(t, fleet, seed+1, texts, nil, false)
	})
	t.Run("from the primary", func(t *testing.T) {
		assertOwnTexts(t, fleet, seed+2, texts, startupParameters{"cherviltrestle.max_age": "1ns"}, false)
	})
	t.Run("in a transaction", func(t *testing.T) {
		assertOwnTexts(t, fleet, seed+3, texts, nil, true)
	})
	t.Run("writes have the outcome that callers were told", func(t *testing.T) {
		callers := startCallers(fleet, callerCount, true)
		callers.awaitMore(t, writeCount)
		callers.stopAndWait()
		assertOutcomesMatchLog(t, callers, awaitPrimary(t, fleet, fleet.Proxies[0], nil))
	})
}
