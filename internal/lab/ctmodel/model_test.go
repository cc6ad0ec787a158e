package ctmodel_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmodel"
)

// assertKept runs the plan of a seed and checks that none of the rules was violated.
func assertKept(t *testing.T, seed uint64, rules []ctmodel.Rule) {
	t.Helper()
	report := ctmodel.Run(ctmodel.NewPlan(seed))
	violations := slices.DeleteFunc(report.Violations, func(v ctmodel.Violation) bool {
		return !slices.Contains(rules, v.Rule)
	})
	if len(violations) > 0 {
		t.Errorf("seed %d: %v\n%s", seed, violations, strings.Join(report.Trace, "\n"))
	}
	assert.Assert(t, report.Acknowledged > 0)
	t.Logf("%d commits acknowledged, %d in doubt, %d promotions, %d leaders, available %s after the faults",
		report.Acknowledged, report.Indoubt, report.Promotions, report.Leaders, report.RecoveredAfter)
}

// assertSeedsKept checks seeds by the cause of a violation that they once had, or the first ones
// if seedsVariable is set.
func assertSeedsKept(t *testing.T, regressions map[string][]uint64, rules ...ctmodel.Rule) {
	t.Helper()
	if text := os.Getenv(seedsVariable); text != "" {
		regressions = map[string][]uint64{"first seeds": firstSeeds(t, text)}
	}
	for cause, seeds := range regressions {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%s, seed %d", cause, seed), func(t *testing.T) { assertKept(t, seed, rules) })
		}
	}
}

// seedsVariable names the environment variable with the number of seeds, from 1, that run
// instead of those of the regressions.
const seedsVariable = "CTMODEL_SEEDS"

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
	assertSeedsKept(t, map[string][]uint64{
		"a request of one candidate took effect after another one had led":    {2, 24, 107},
		"a promotion was settled because its request had timed out":           {72, 112},
		"a promotion was settled that had taken effect at an isolated member": {52, 162},
		"a candidate that had been silent was not probed any more":            {322},
		"the old primary was not probed any more after its step-down":         {18},
		"the covered point of an older primary counted for a later term":      {533, 600},
	}, ctmodel.RuleLost, ctmodel.RuleLate, ctmodel.RuleReplaced, ctmodel.RuleLive)
}

// TestServiceSeesOneHolder guards against promotion requests of an earlier holder that the
// service handles after those of a later one, and against two holders at once (issue 32).
func TestServiceSeesOneHolder(t *testing.T) {
	assertSeedsKept(t, map[string][]uint64{
		"a link held a request until a later holder's had been handled":     {3, 11, 41},
		"the service handled a request after a later holder's":              {1, 5, 13},
		"a process froze between its check and the sending of a request":    {47, 99},
		"a held request was handled within a lease of a later holder's one": {498, 533},
	}, ctmodel.RuleHolder, ctmodel.RuleTurns, ctmodel.RuleOrder)
}
