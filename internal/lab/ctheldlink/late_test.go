package ctheldlink_test

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctheldlink"
)

// randomSeed and randomFaults are those of TestRandomHolds.
var (
	randomSeed   = flag.Uint64("heldlink.seed", 1, "seed of the random faults")
	randomFaults = flag.Duration("heldlink.faults", 10*time.Second, "how long random faults are injected")
)

// assertNoViolations starts a fleet, runs a test with it and checks that no rule was broken.
func assertNoViolations(t *testing.T, run func(ctx context.Context, fleet *ctheldlink.Fleet) error) {
	t.Helper()
	folder := t.ArtifactDir()
	events, err := os.Create(filepath.Join(folder, "events.log"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = events.Close() })
	fleet, err := ctheldlink.Start(ctheldlink.Options{
		BinFolder: programFolder, Folder: folder,
		Logger: zerolog.New(zerolog.MultiLevelWriter(events, zerolog.NewTestWriter(t))).With().Timestamp().Logger(),
	})
	assert.NilError(t, err)
	defer fleet.Close()
	assert.NilError(t, run(context.Background(), fleet))
	for _, v := range fleet.Judge.Violations() {
		t.Errorf("%s: %s", v.Rule, v.Text)
	}
}

// assertNothingLost runs a scenario and checks that no rule was broken.
func assertNothingLost(t *testing.T, sender ctheldlink.Sender, candidate ctheldlink.Candidate) {
	t.Helper()
	t.Parallel()
	assertNoViolations(t, func(ctx context.Context, fleet *ctheldlink.Fleet) error {
		result, err := fleet.LateRequest(ctx, sender, candidate)
		t.Logf("%+v", result)
		return err
	})
}

// TestLatePromotionRequest guards against the loss of acknowledged commits when a promotion
// request takes effect after another member was promoted.
func TestLatePromotionRequest(t *testing.T) {
	t.Run("its sender is cut off", func(t *testing.T) {
		assertNothingLost(t, ctheldlink.CutOff{}, ctheldlink.Severed{})
	})
	t.Run("its sender is cut off and the member is slow", func(t *testing.T) {
		assertNothingLost(t, ctheldlink.CutOff{}, ctheldlink.Slow{})
	})
	t.Run("its sender goes on leading", func(t *testing.T) {
		assertNothingLost(t, ctheldlink.Staying{}, ctheldlink.Severed{})
	})
	t.Run("its sender is killed", func(t *testing.T) {
		assertNothingLost(t, ctheldlink.Killed{}, ctheldlink.Severed{})
	})
}

// TestRandomHolds guards against the loss of acknowledged commits in other orders of held
// links, kills, freezes and silent members.
func TestRandomHolds(t *testing.T) {
	t.Parallel()
	assertNoViolations(t, func(ctx context.Context, fleet *ctheldlink.Fleet) error {
		return fleet.Disturb(ctx, *randomSeed, *randomFaults)
	})
}
