package ctlabcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctsoak"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// soakTime is how long faults come in a run, as a rule.
const soakTime = 30 * time.Second

// soak holds the flags of the soak command.
type soak struct {
	seed, seeds      uint64
	faults           time.Duration
	proxies          int
	programs, folder string
}

func newSoak(log io.Writer) *cobra.Command {
	var s soak
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run real processes under faults that a seed decides, and check what callers and members see",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return s.run(command, log) },
	}
	flags := command.Flags()
	flags.Uint64Var(&s.seed, "seed", uint64(time.Now().Unix()), "seed of the first run; a fresh one where it is left out")
	flags.Uint64Var(&s.seeds, "seeds", 1, "number of runs, with this seed and those after it")
	flags.DurationVar(&s.faults, "faults", soakTime, "how long faults come in a run")
	flags.IntVar(&s.proxies, "proxies", 0, "proxies in each failure domain; the seed decides where it is 0")
	flags.StringVar(&s.programs, "programs", "bin", "folder with the program cherviltrestle")
	flags.StringVar(&s.folder, "folder", "", "folder for settings, data and logs, which is kept; one that is removed "+
		"after runs without a breach where it is left out")
	return command
}

// run runs the seeds and fails where a promise was broken.
func (s *soak) run(command *cobra.Command, log io.Writer) error {
	if s.seeds == 0 || s.faults <= 0 || s.proxies < 0 {
		return cterror.New(cterror.Invalid, "the soak has nothing to run", "give --seeds and --faults above 0")
	}
	broken := 0
	for seed := s.seed; seed < s.seed+s.seeds; seed++ {
		report, err := s.one(command, seed, log)
		if err != nil {
			return errors.Wrapf(err, "run seed %d", seed)
		}
		if len(report.Violations) > 0 {
			broken++
		}
		line, err := json.Marshal(report)
		if err != nil {
			return errors.Wrap(err, "encode a report")
		}
		if _, err := fmt.Fprintf(command.OutOrStdout(), "%s\n", line); err != nil {
			return errors.Wrap(err, "write a report")
		}
	}
	if broken > 0 {
		return errors.Errorf("%d of %d runs broke a promise", broken, s.seeds)
	}
	return nil
}

// one runs one seed. The folder of a run with breaches stays.
func (s *soak) one(command *cobra.Command, seed uint64, log io.Writer) (ctsoak.Report, error) {
	folder := filepath.Join(s.folder, fmt.Sprintf("seed-%d", seed))
	var err error
	if s.folder == "" {
		if folder, err = os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed)); err != nil {
			return ctsoak.Report{}, errors.Wrap(err, "make a folder")
		}
	}
	if folder, err = filepath.Abs(folder); err != nil {
		return ctsoak.Report{}, errors.Wrap(err, "find the folder")
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return ctsoak.Report{}, errors.Wrap(err, "make a folder")
	}
	plan := ctsoak.NewPlanWithProxies(seed, s.faults, s.proxies)
	logger := zerolog.New(log).With().Timestamp().Uint64("seed", seed).Logger()
	logger.Info().Str("event", "soak").Str("folder", folder).Str("shape", fmt.Sprintf("%+v", plan.Shape)).Send()
	report, err := ctsoak.Run(command.Context(), ctsoak.Options{
		Plan: plan, BinFolder: s.programs, Folder: folder, Logger: logger,
	})
	if err == nil && s.folder == "" && len(report.Violations) == 0 {
		err = errors.Wrap(os.RemoveAll(folder), "remove the folder")
	}
	return report, err
}
