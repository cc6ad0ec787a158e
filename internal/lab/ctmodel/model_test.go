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

// assertNoViolations runs the plan of a seed and checks that no rule was violated.
func assertNoViolations(t *testing.T, plan ctmodel.Plan) {
	t.Helper()
	seed := plan.Seed
	report := ctmodel.Run(plan)
	if len(report.Violations) > 0 {
		t.Errorf("seed %d: %v\n%s", seed, report.Violations, strings.Join(report.Trace, "\n"))
	}
	assert.Assert(t, report.Acknowledged > 0 && report.Reads > 0)
	t.Logf("%d commits acknowledged, %d in doubt, %d reads", report.Acknowledged, report.Indoubt, report.Reads)
	t.Logf("%d promotions, %d leaders, gap %s, available %s after the faults",
		report.Promotions, report.Leaders, report.LongestGap, report.RecoveredAfter)
}

// assertSeeds checks seeds by the cause of a violation that they once had, or those that
// seedsVariable selects.
func assertSeeds(t *testing.T, regressions map[string][]uint64) {
	t.Helper()
	if text := os.Getenv(seedsVariable); text != "" {
		regressions = map[string][]uint64{"selected": selectedSeeds(t, text)}
	}
	for cause, seeds := range regressions {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%s, seed %d", cause, seed), func(t *testing.T) { assertNoViolations(t, ctmodel.NewPlan(seed)) })
		}
	}
}

// seedsVariable names the environment variable with the seeds that run instead of those of the
// regressions: the number of them, from 1, or the first and the last one as in 601-1200.
const seedsVariable = "CTMODEL_SEEDS"

// selectedSeeds returns the seeds that a text selects.
func selectedSeeds(t *testing.T, text string) []uint64 {
	t.Helper()
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		first, last = "1", text
	}
	var all []uint64
	for seed := parseSeed(t, first); seed <= parseSeed(t, last); seed++ {
		all = append(all, seed)
	}
	return all
}

func parseSeed(t *testing.T, text string) uint64 {
	t.Helper()
	seed, err := strconv.ParseUint(text, 10, 32)
	assert.NilError(t, err)
	return seed
}

// TestPromotedLogHasAcknowledgedCommits guards against the loss of acknowledged commits by a
// late promotion request, or by a candidate that lacks them (issue 29).
func TestPromotedLogHasAcknowledgedCommits(t *testing.T) {
	assertSeeds(t, map[string][]uint64{
		"a request of one candidate took effect after another one had led":    {2, 24, 107},
		"a promotion was settled because its request had timed out":           {72, 112},
		"a promotion was settled that had taken effect at an isolated member": {52, 162},
		"a candidate that had been silent was not probed any more":            {322},
		"the old primary was not probed any more after its step-down":         {18},
		"a replica that had confirmed the fence was not probed any more":      {291},
		"the covered point of an older primary counted for a later term":      {533, 600},
	})
}

// TestServiceSeesOneHolder guards against promotion requests of an earlier holder that the
// service handles after those of a later one, and against two holders at once (issue 32).
func TestServiceSeesOneHolder(t *testing.T) {
	assertSeeds(t, map[string][]uint64{
		"a link held a request until a later holder's had been handled":     {3, 11, 41},
		"the service handled a request after a later holder's":              {1, 5, 13},
		"a process froze between its check and the sending of a request":    {47, 99},
		"a held request was handled within a lease of a later holder's one": {498, 533},
	})
}

// TestReleaseOfEarlierRun guards against the report of a process that has ended its part as the
// requester, if it arrives after a later run of the process has sent requests (issue 32).
func TestReleaseOfEarlierRun(t *testing.T) {
	assertSeeds(t, map[string][]uint64{
		"a release of an earlier run arrived while a request of a later one was open": {14, 28, 230, 327},
	})
}

// TestRequesterWithoutService guards against a group that gets no primary as long as its requester
// can't reach the service, although the leader can (issue 32).
func TestRequesterWithoutService(t *testing.T) {
	assertSeeds(t, map[string][]uint64{
		"each request that was not sent postponed the release of a requester that had restarted": {2, 5, 23},
	})
}

// TestLostLogsOfReplicas guards against the loss of acknowledged commits that only a replica had
// whose log is lost, and against a group that waits for such a log for ever (issue 47).
func TestLostLogsOfReplicas(t *testing.T) {
	// Without the lost logs in the register, 48, 139 and 148 lose commits.
	seeds := []uint64{1, 2, 48, 139, 148}
	if text := os.Getenv(seedsVariable); text != "" {
		seeds = selectedSeeds(t, text)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			plan := ctmodel.NewPlan(seed)
			plan.LostLogs = true
			assertNoViolations(t, plan)
		})
	}
}
