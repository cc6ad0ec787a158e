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

// defaultFaultWindow is how long faults are injected in a run by default.
const defaultFaultWindow = 30 * time.Second

// soakFlags holds the flags of the soak command.
type soakFlags struct {
	seed, seedCount   uint64
	faultWindow       time.Duration
	proxies           int
	binFolder, folder string
}

// newSoak returns the command that runs soak tests. The runs write their logs to log.
func newSoak(log io.Writer) *cobra.Command {
	var s soakFlags
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run real processes with faults from a seed, and check what callers and members see",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return s.run(command, log) },
	}
	flags := command.Flags()
	flags.Uint64Var(&s.seed, "seed", uint64(time.Now().Unix()), "seed of the first run; a new one by default")
	flags.Uint64Var(&s.seedCount, "seeds", 1, "number of runs, with this seed and those after it")
	flags.DurationVar(&s.faultWindow, "faults", defaultFaultWindow, "how long faults are injected in a run")
	flags.IntVar(&s.proxies, "proxies", 0, "proxies in each failure domain; the seed decides where it is 0")
	flags.StringVar(&s.binFolder, "programs", "bin", "folder with the program cherviltrestle")
	flags.StringVar(&s.folder, "folder", "", "folder for settings, data and logs, which is kept; by default a "+
		"temporary folder, which is removed after a run without violations")
	return command
}

// run runs the seeds and prints the report of each as a line of JSON. It returns an
// error if any run found violations.
func (s *soakFlags) run(command *cobra.Command, log io.Writer) error {
	if s.seedCount == 0 || s.faultWindow <= 0 || s.proxies < 0 {
		return cterror.New(cterror.Invalid, "the soak has nothing to run", "give --seeds and --faults above 0")
	}
	failedRuns := 0
	for seed := s.seed; seed < s.seed+s.seedCount; seed++ {
		report, err := s.runSeed(command, seed, log)
		if err != nil {
			return errors.Wrapf(err, "run seed %d", seed)
		}
		if len(report.Violations) > 0 {
			failedRuns++
		}
		line, err := json.Marshal(report)
		if err != nil {
			return errors.Wrap(err, "encode a report")
		}
		if _, err := fmt.Fprintf(command.OutOrStdout(), "%s\n", line); err != nil {
			return errors.Wrap(err, "write a report")
		}
	}
	if failedRuns > 0 {
		return errors.Errorf("%d of %d runs found violations", failedRuns, s.seedCount)
	}
	return nil
}

// runSeed runs one seed. It removes the run's folder if that is a temporary one and
// the run found no violations.
func (s *soakFlags) runSeed(command *cobra.Command, seed uint64, log io.Writer) (ctsoak.Report, error) {
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
	plan := ctsoak.NewPlanWithProxies(seed, s.faultWindow, s.proxies)
	logger := zerolog.New(log).With().Timestamp().Uint64("seed", seed).Logger()
	logger.Info().Str("event", "soak").Str("folder", folder).Str("shape", fmt.Sprintf("%+v", plan.Shape)).Send()
	report, err := ctsoak.Run(command.Context(), ctsoak.Options{
		Plan: plan, BinFolder: s.binFolder, Folder: folder, Logger: logger,
	})
	if err == nil && s.folder == "" && len(report.Violations) == 0 {
		err = errors.Wrap(os.RemoveAll(folder), "remove the folder")
	}
	return report, err
}
