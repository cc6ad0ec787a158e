package ctproof

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
)

// Settings of TestCutAnswers.
const (
	// cutEvery makes each backend server break off every fourth of its answers.
	cutEvery = 4
	// cutRows is how many rows a complete answer has.
	cutRows = 60
	// cutReads is how many reads each subtest sends.
	cutReads = 80
)

// assertCompleteAnswers reads cutReads times and checks that each read without an
// error returns all cutRows rows. At least one read must succeed.
func assertCompleteAnswers(t *testing.T, read func() ([]string, error)) {
	t.Helper()
	complete := 0
	for range cutReads {
		values, err := read()
		if err != nil {
			continue
		}
		assert.Equal(t, len(values), cutRows, "a partial answer was returned without an error")
		complete++
	}
	assert.Assert(t, complete > 0, "every read failed")
	t.Logf("%d of %d reads were answered", complete, cutReads)
}

// TestCutAnswers checks that no caller gets a partial answer as a complete one, or
// a wrong outcome of a write. Backend servers close the connection in the middle of
// every fourth answer, when a proxy may have forwarded some rows already. The reads
// with a maximum age of 1ns are served by the primary.
func TestCutAnswers(t *testing.T) {
	fleet := start(t, smallFleet())
	writer := open(t, fleet.Proxies[0], nil)
	for i := range cutRows {
		mustRun(t, writer, fmt.Sprintf("INSERT INTO charts (key, value) VALUES ('m8', '%d')", i))
	}
	assert.NilError(t, fleet.AwaitReady())
	for _, m := range fleet.Members[group] {
		assert.NilError(t, fleet.SetFaults(m, ctstandin.Faults{CutEvery: cutEvery}))
	}
	callers := startCallers(fleet, callerCount, true)
	for _, target := range []struct {
		name       string
		parameters startupParameters
	}{
		{"replicas", nil},
		{"the primary", startupParameters{"cherviltrestle.max_age": "1ns"}},
	} {
		t.Run("from "+target.name, func(t *testing.T) {
			session := open(t, fleet.Proxies[1], target.parameters)
			assertCompleteAnswers(t, func() ([]string, error) { return run(session, selectM8) })
		})
	}
	callers.awaitMore(t, writeCount)
	callers.stopAndWait()
	for _, m := range fleet.Members[group] {
		assert.NilError(t, fleet.SetFaults(m, ctstandin.Faults{}))
	}
	assertOutcomesMatchLog(t, callers, awaitPrimary(t, fleet, fleet.Proxies[0], nil))
	t.Logf("%d writes were acknowledged, %d did not run, %d have an unknown outcome",
		callers.count(outcomeAcknowledged), callers.count(outcomeNotRun), callers.count(outcomeUnknown))
}
