package ctsoak_test

import (
	"context"
	"os/exec"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctsoak"
)

// regressions are seeds that once violated an invariant, with the cause of the violation.
var regressions = []struct {
	seed   uint64
	faults time.Duration
	cause  string
}{
	{seed: 1, faults: 10 * time.Second, cause: "control handled messages before it had read its disk"},
	{seed: 107, faults: 30 * time.Second, cause: "a session that began during a planned stop was not counted"},
	{seed: 38, faults: 30 * time.Second, cause: "a promotion that was accepted without effect was requested forever"},
	{seed: 30, faults: 30 * time.Second, cause: "two requests shared a stream to control's leader"},
}

// assertNoViolations runs a plan with race-enabled programs and checks that callers committed
// something and that no invariant was violated.
func assertNoViolations(t *testing.T, bin string, plan ctsoak.Plan) {
	t.Helper()
	report, err := ctsoak.Run(context.Background(), ctsoak.Options{
		Plan: plan, BinFolder: bin, Folder: t.TempDir(), Logger: zerolog.New(zerolog.NewTestWriter(t)),
	})
	assert.NilError(t, err)
	for _, v := range report.Violations {
		t.Errorf("seed %d: %s", plan.Seed, v)
	}
	assert.Assert(t, report.Commits > 0)
	t.Logf("served %d of %d operations, %d commits", report.Served, report.Attempted, report.Commits)
}

// buildPrograms builds the race-enabled programs and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	output, err := exec.Command("go", "build", "-race", "-o", bin+"/", "../../../cmd/cherviltrestle").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return bin
}

func TestSoak(t *testing.T) {
	bin := buildPrograms(t)
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) {
			t.Parallel()
			assertNoViolations(t, bin, ctsoak.NewPlan(r.seed, r.faults))
		})
	}
}

// TestOvertakenRequest guards against a promotion request of a former leader that the service
// receives after one of a later leader for the same group.
func TestOvertakenRequest(t *testing.T) {
	const overtakeAfter, faults = 3 * time.Second, 4 * time.Second
	plan := ctsoak.NewPlan(1, faults)
	plan.Schedule = []ctsoak.ScheduledFault{
		{After: overtakeAfter, Fault: ctsoak.Overtake{Group: 0, For: 6 * time.Second}},
	}
	assertNoViolations(t, buildPrograms(t), plan)
}

// TestPlannedStops guards against statements that are lost, transactions that are cut short and
// proxies that stay ready when one proxy after the other stops. Others read their settings again.
func TestPlannedStops(t *testing.T) {
	const first, interval, down = 6 * time.Second, 1500 * time.Millisecond, time.Second
	plan := ctsoak.NewPlanWithProxies(2, first, 2)
	plan.Schedule, plan.StutterShare = nil, 0
	at, count := first, 2*plan.Shape.Domains
	for i := range count {
		stopped := ctsoak.Host{Kind: ctsoak.KindProxy, Number: i}
		reloaded := ctsoak.Host{Kind: ctsoak.KindProxy, Number: (i + 1) % count}
		plan.Schedule = append(plan.Schedule,
			ctsoak.ScheduledFault{After: at, Fault: ctsoak.Stop{Host: stopped, Down: down}},
			ctsoak.ScheduledFault{After: at + interval/2, Fault: ctsoak.Hangup{Host: reloaded}},
		)
		at += interval
	}
	plan.FaultDuration = at
	assertNoViolations(t, buildPrograms(t), plan)
}

// TestStutteringMembers guards against an answer that a member sends twice and that is taken for
// the answer to another query, in a fleet without another fault.
func TestStutteringMembers(t *testing.T) {
	const duration = 6 * time.Second
	plan := ctsoak.NewPlan(3, duration)
	plan.Schedule, plan.StutterShare = nil, 20
	assertNoViolations(t, buildPrograms(t), plan)
}
