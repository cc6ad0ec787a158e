package ctmodel_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmodel"
)

// assertNoViolations runs the plan of a seed and checks that no invariant was violated.
func assertNoViolations(t *testing.T, seed uint64) {
	t.Helper()
	report := ctmodel.Run(ctmodel.NewPlan(seed))
	if len(report.Violations) > 0 {
		t.Errorf("seed %d: %v\n%s", seed, report.Violations, strings.Join(report.Trace, "\n"))
	}
	assert.Assert(t, report.Acknowledged > 0)
	t.Logf("%d commits acknowledged, %d in doubt, %d promotions, %d leaders, available %s after the faults",
		report.Acknowledged, report.Indoubt, report.Promotions, report.Leaders, report.RecoveredAfter)
}

// seedsVariable names the environment variable with the number of seeds, from 1, that run
// instead of those of the regressions.
const seedsVariable = "CTMODEL_SEEDS"

// regressions are seeds that once violated an invariant, by the cause of the violation.
var regressions = map[string][]uint64{
	"a request of one candidate took effect after another one had led":    {2, 24, 107},
	"a promotion was settled because its request had timed out":           {72, 112},
	"a promotion was settled that had taken effect at an isolated member": {52, 162},
	"a candidate that had been silent was not probed any more":            {322},
	"the old primary was not probed any more after its step-down":         {18},
	"the covered point of an older primary counted for a later term":      {533, 600},
}

// firstSeeds returns the seeds from 1 to a number.
func firstSeeds(t *testing.T, text string) []uint64 {
	t.Helper()
	count, err := strconv.ParseUint(text, 10, 32)
	assert.NilError(t, err)
	var all []uint64
	for seed := range count {
		all = append(all, seed+1)
	}
	return all
}

// TestPromotedLogHasAcknowledgedCommits guards against the loss of acknowledged commits by a
// late promotion request, or by a candidate that lacks them (issue 29).
func TestPromotedLogHasAcknowledgedCommits(t *testing.T) {
	selected := regressions
	if text := os.Getenv(seedsVariable); text != "" {
		selected = map[string][]uint64{"first seeds": firstSeeds(t, text)}
	}
	for cause, seeds := range selected {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%s, seed %d", cause, seed), func(t *testing.T) { assertNoViolations(t, seed) })
		}
	}
}
