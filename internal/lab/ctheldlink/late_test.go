package ctheldlink_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctheldlink"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstutter"
)

// randomSeed, randomSeeds and randomFaults are those of TestRandomHolds.
var (
	randomSeed   = flag.Uint64("heldlink.seed", 1, "first seed of the random faults")
	randomSeeds  = flag.Uint64("heldlink.seeds", 2, "number of seeds")
	randomFaults = flag.Duration("heldlink.faults", 10*time.Second, "how long random faults are injected")
)

// stutterShare is how many answers of members there are for each one that is sent twice.
const stutterShare = 100

// assertNoViolations starts a fleet, runs a test with it and checks that no rule was broken.
func assertNoViolations(t *testing.T, seed uint64, run func(ctx context.Context, fleet *ctheldlink.Fleet) error) {
	t.Helper()
	assertNoViolationsWith(t, seed, ctstutter.NewPlan(seed, stutterShare), run)
}

// assertNoViolationsWith is assertNoViolations with a plan of repeated answers.
func assertNoViolationsWith(
	t *testing.T, seed uint64, stutter *ctstutter.Plan,
	run func(ctx context.Context, fleet *ctheldlink.Fleet) error,
) {
	t.Helper()
	folder := t.ArtifactDir()
	events, err := os.Create(filepath.Join(folder, "events.log"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = events.Close() })
	fleet, err := ctheldlink.Start(ctheldlink.Options{
		BinFolder: programFolder, Folder: folder, Seed: seed,
		Stutter: stutter,
		Logger:  zerolog.New(zerolog.MultiLevelWriter(events, zerolog.NewTestWriter(t))).With().Timestamp().Logger(),
	})
	assert.NilError(t, err)
	defer fleet.Close()
	assert.Check(t, run(context.Background(), fleet))
	for _, v := range fleet.Judge.Violations() {
		t.Errorf("%s: %s", v.Rule, v.Text)
	}
}

// assertNothingLost runs a scenario and checks that no rule was broken.
func assertNothingLost(t *testing.T, sender ctheldlink.Sender, candidate ctheldlink.Candidate) {
	t.Helper()
	t.Parallel()
	assertNoViolations(t, 1, func(ctx context.Context, fleet *ctheldlink.Fleet) error {
		result, err := fleet.LateRequest(ctx, sender, candidate)
		t.Logf("longest gap %s: %+v", result.LongestGap, result)
		return err
	})
}

// assertServedAgain runs a scenario with a second loss of the primary and checks that no rule
// was broken.
func assertServedAgain(t *testing.T, sender ctheldlink.Sender) {
	t.Helper()
	t.Parallel()
	assertNoViolations(t, 1, func(ctx context.Context, fleet *ctheldlink.Fleet) error {
		result, err := fleet.LossAfterLateRequest(ctx, sender, ctheldlink.Severed{})
		t.Logf("served again after %s: %+v", result.NextAfter, result)
		return err
	})
}

// TestLatePromotionRequest guards against the loss of acknowledged commits, and against a
// lower epoch after a higher one, when a promotion request reaches the service late.
func TestLatePromotionRequest(t *testing.T) {
	t.Run("its sender is cut off", func(t *testing.T) {
		assertNothingLost(t, ctheldlink.CutOff{}, ctheldlink.Severed{})
	})
	t.Run("its sender is cut off and the member is slow", func(t *testing.T) {
		assertNothingLost(t, ctheldlink.CutOff{}, ctheldlink.Slow{})
	})
	t.Run("its sender was cut off before", func(t *testing.T) {
		assertNothingLost(t, ctheldlink.Reconnected{}, ctheldlink.Severed{})
	})
	t.Run("its sender goes on leading", func(t *testing.T) {
		assertNothingLost(t, ctheldlink.Staying{}, ctheldlink.Severed{})
	})
	t.Run("its sender follows another leader", func(t *testing.T) {
		assertNothingLost(t, ctheldlink.Deposed{}, ctheldlink.Severed{})
	})
	t.Run("its sender follows another leader and the member is slow", func(t *testing.T) {
		assertNothingLost(t, ctheldlink.Deposed{}, ctheldlink.Slow{})
	})
	t.Run("its sender is killed", func(t *testing.T) {
		assertNothingLost(t, ctheldlink.Killed{}, ctheldlink.Severed{})
	})
	t.Run("its sender has started again", func(t *testing.T) {
		assertNothingLost(t, ctheldlink.Restarted{}, ctheldlink.Severed{})
	})
}

// TestLossAfterLateRequest guards against a group that has no primary, or acknowledges nothing,
// because requests for members that are away count as open.
func TestLossAfterLateRequest(t *testing.T) {
	t.Run("its sender was cut off before", func(t *testing.T) { assertServedAgain(t, ctheldlink.Reconnected{}) })
	t.Run("its sender goes on leading", func(t *testing.T) { assertServedAgain(t, ctheldlink.Staying{}) })
	t.Run("its sender follows another leader", func(t *testing.T) { assertServedAgain(t, ctheldlink.Deposed{}) })
	t.Run("its sender is killed", func(t *testing.T) { assertServedAgain(t, ctheldlink.Killed{}) })
	t.Run("its sender has started again", func(t *testing.T) { assertServedAgain(t, ctheldlink.Restarted{}) })
}

// TestRandomHolds guards against broken rules in other orders of held links, kills, freezes
// and silent members.
func TestRandomHolds(t *testing.T) {
	for seed := *randomSeed; seed < *randomSeed+*randomSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			assertNoViolations(t, seed, func(ctx context.Context, fleet *ctheldlink.Fleet) error {
				err := fleet.Disturb(ctx, seed, *randomFaults)
				t.Logf("longest gap %s", fleet.Judge.LongestGap())
				return err
			})
		})
	}
}

// TestStutteringMembers guards against an answer that a member sends twice and that is taken for
// the answer to another query: of a caller, of the proxy or of control.
func TestStutteringMembers(t *testing.T) {
	const share, duration = 20, 3 * time.Second
	for _, moment := range []ctstutter.Moment{
		ctstutter.Behind{}, ctstutter.Before{}, ctstutter.After{}, ctstutter.Later{Delay: 30 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%T", moment), func(t *testing.T) {
			t.Parallel()
			assertNoViolationsWith(t, 1, ctstutter.Always(1, share, moment),
				func(ctx context.Context, fleet *ctheldlink.Fleet) error { return fleet.Serve(ctx, duration) })
		})
	}
}
