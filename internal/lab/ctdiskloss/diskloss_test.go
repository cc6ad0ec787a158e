package ctdiskloss

import (
	"context"
	"flag"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// firstSeed and seedRuns are those of TestRepeatedDiskLosses.
var (
	firstSeed = flag.Uint64("diskloss.seed", 1, "first seed of the losses")
	seedRuns  = flag.Uint64("diskloss.seeds", 2, "number of seeds")
)

// assertKeepsRules plays the plan of a seed and checks that no rule was broken.
func assertKeepsRules(t *testing.T, seed Seed) {
	t.Helper()
	system, err := Start(Options{
		BinFolder: programFolder, Folder: t.ArtifactDir(),
		Logger: zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Logger(),
	})
	assert.NilError(t, err)
	defer system.Close()
	violations, err := system.Run(context.Background(), NewPlan(seed))
	assert.Check(t, err)
	for _, v := range violations {
		t.Errorf("%s: %s", v.Rule, v.Text)
	}
}

// TestRepeatedDiskLosses guards against control processes with empty disks that never join again, so that the
// next lost disks leave control without a majority.
func TestRepeatedDiskLosses(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedRuns; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			assertKeepsRules(t, Seed(seed))
		})
	}
}
