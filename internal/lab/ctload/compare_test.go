package ctload_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctload"
)

// assertLine checks that the text has a line with exactly these fields, separated by
// white space.
func assertLine(t *testing.T, text string, fields ...string) {
	t.Helper()
	for line := range strings.Lines(text) {
		if strings.Join(strings.Fields(line), " ") == strings.Join(fields, " ") {
			return
		}
	}
	t.Errorf("no line %v in\n%s", fields, text)
}

func TestCompare(t *testing.T) {
	before := &ctload.Result{
		Throughput: 100,
		Latencies:  map[ctload.Kind]ctload.Latency{ctload.KindRead: {Count: 9, P50Micros: 2000}},
		Outcomes:   map[ctload.Outcome]int64{ctload.OutcomeRan: 500},
	}
	after := &ctload.Result{
		Throughput: 150,
		Latencies:  map[ctload.Kind]ctload.Latency{ctload.KindRead: {Count: 9, P50Micros: 1000}},
		Outcomes:   map[ctload.Outcome]int64{ctload.OutcomeRan: 750, ctload.OutcomeNotRun: 3},
	}
	text := ctload.Compare(before, after)
	assertLine(t, text, "ran", "a", "second", "100.000", "150.000", "150")
	assertLine(t, text, "read", "p50", "ms", "2.000", "1.000", "50")
	assertLine(t, text, "not_run", "0.000", "3.000", "-")
	assert.Assert(t, !strings.Contains(text, "write"))
}
