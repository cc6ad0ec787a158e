package ctlabcommand

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctexperiment"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctload"
)

// defaultRuns is how many failovers are measured where nothing is said.
const defaultRuns = 10

// defaultHeartbeat is that of the proxies.
const defaultHeartbeat = 250 * time.Millisecond

// The defaults of a load.
const (
	defaultSessions = 20
	defaultTime     = 10 * time.Second
	defaultReads    = 0.9
)

func newExperiment() *cobra.Command {
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Measure fleets of processes on loopback; results are JSON",
	}
	var runs, proxies int
	var heartbeat time.Duration
	path := experiment("path", "Compare the path through the proxies with a direct connection",
		func(command *cobra.Command, programs string) (any, error) {
			return ctexperiment.Path(command.Context(), programs)
		})
	failover := experiment("failover", "Measure the gap of failovers for a killed and for a cut-off primary",
		func(command *cobra.Command, programs string) (any, error) {
			return failovers(command, programs, runs)
		})
	failover.Flags().IntVar(&runs, "runs", defaultRuns, "failovers of each sort")
	idle := experiment("idle", "Measure what an idle fleet spends",
		func(command *cobra.Command, programs string) (any, error) {
			return ctexperiment.Idle(command.Context(), programs, proxies, heartbeat)
		})
	idle.Flags().IntVar(&proxies, "proxies", 1, "proxies in each of three failure domains")
	idle.Flags().DurationVar(&heartbeat, "heartbeat", defaultHeartbeat, "time between two reports of a proxy")
	command.AddCommand(path, failover, idle)
	return command
}

func failovers(command *cobra.Command, programs string, runs int) (any, error) {
	var reports []*ctexperiment.FailoverReport
	for _, f := range []ctexperiment.Failure{ctexperiment.FailureKill, ctexperiment.FailureCut} {
		report, err := ctexperiment.Failover(command.Context(), programs, f, runs)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

// experiment returns the command of one experiment, which runs the programs
// that lie beside this one.
func experiment(
	use, short string, run func(command *cobra.Command, programs string) (any, error),
) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return errors.Wrap(err, "find this program")
			}
			report, err := run(command, filepath.Dir(self))
			if err != nil {
				return err
			}
			return printJSON(command, report)
		},
	}
}

func printJSON(command *cobra.Command, value any) error {
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print the result")
}

func newLoad() *cobra.Command {
	var options ctload.Options
	var asJSON bool
	command := &cobra.Command{
		Use:   "load",
		Short: "Put load on proxies and measure it",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			result, err := ctload.Run(command.Context(), options)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(command, result)
			}
			command.Print(result.Table())
			return nil
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.Addresses, "address", nil, "addresses of proxies")
	flags.StringVar(&options.Group, "group", "", "database group")
	flags.IntVar(&options.Sessions, "sessions", defaultSessions, "sessions at once")
	flags.DurationVar(&options.For, "for", defaultTime, "how long to run")
	flags.Float64Var(&options.Rate, "rate", 0, "requests a second in all; 0 for closed loops")
	flags.Float64Var(&options.Reads, "reads", defaultReads, "share of reads")
	flags.StringVar(&options.MaxAge, "max-age", "", "age that reads accept")
	flags.IntVar(&options.Moves, "moves", 0, "requests between two moves to another proxy; 0 for none")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the choices")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return command
}
