package ctproof

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
)

// The sizes of the proof of cut answers.
const (
	cutEvery = 4
	cutRows  = 60
	cutReads = 80
)

// assertCompleteAnswers reads a table again and again: an answer that is told as one
// has all rows.
func assertCompleteAnswers(t *testing.T, read func() ([]string, error)) {
	t.Helper()
	complete := 0
	for range cutReads {
		values, err := read()
		if err != nil {
			continue
		}
		assert.Equal(t, len(values), cutRows, "a part of an answer was told as the whole")
		complete++
	}
	assert.Assert(t, complete > 0, "no answer came through")
	t.Logf("%d of %d reads were answered", complete, cutReads)
}

// TestCutAnswers checks that callers are told the truth while backend servers
// cut connections in the middle of answers.
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
		t.Run("of "+target.name, func(t *testing.T) {
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
	t.Logf("%d writes ran, %d were told not run, %d unknown",
		callers.count(outcomeAcknowledged), callers.count(outcomeNotRun), callers.count(outcomeUnknown))
}
