package ctlabcommand

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctexperiment"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctload"
)

// defaultRuns is the number of failovers that are measured for each failure.
const defaultRuns = 10

// defaultProcesses is the default number of simulated proxies and of peers.
const defaultProcesses = 100

// defaultHeartbeatInterval is the interval of the reports of each proxy in an idle
// fleet.
const defaultHeartbeatInterval = 250 * time.Millisecond

// Defaults of the flags of the load command.
const (
	defaultSessions   = 20
	defaultLoadWindow = 10 * time.Second
	defaultReadShare  = 0.9
)

// newExperiment returns the command with a subcommand for each experiment.
func newExperiment() *cobra.Command {
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Measure fleets of processes on loopback; results are JSON",
	}
	var runs, proxies int
	var heartbeatInterval time.Duration
	var deployment string
	var leaseTTL time.Duration
	path := experimentCommand("path", "Compare the path through the proxies with a direct connection",
		func(command *cobra.Command, binFolder string) (any, error) {
			return ctexperiment.Path(command.Context(), binFolder)
		})
	failover := experimentCommand("failover", "Measure the gap between writes when a primary or control's leader fails",
		func(command *cobra.Command, binFolder string) (any, error) {
			d, err := ctexperiment.FindDeployment(deployment)
			if err != nil {
				return nil, err
			}
			if leaseTTL > 0 {
				d.LeaseTTL = leaseTTL
			}
			return measureFailovers(command, binFolder, d, runs)
		})
	failover.Flags().IntVar(&runs, "runs", defaultRuns, "runs of each failure")
	failover.Flags().DurationVar(&leaseTTL, "lease", 0, "how long a write lease lasts; the deployment's where it is 0")
	failover.Flags().StringVar(&deployment, "deployment", "fit-registry", "fit-registry or narocila-db")
	idle := experimentCommand("idle", "Measure processor time, memory and traffic of an idle fleet",
		func(command *cobra.Command, binFolder string) (any, error) {
			return ctexperiment.Idle(command.Context(), binFolder, proxies, heartbeatInterval)
		})
	idle.Flags().IntVar(&proxies, "proxies", 1, "proxies in each of three failure domains")
	idle.Flags().DurationVar(&heartbeatInterval, "heartbeat", defaultHeartbeatInterval,
		"time between two reports of a proxy")
	var uplinkCount int
	uplinks := experimentCommand("daemons", "Measure control with many simulated proxies in this process",
		func(command *cobra.Command, binFolder string) (any, error) {
			return ctexperiment.Uplinks(command.Context(), binFolder, uplinkCount, heartbeatInterval)
		})
	uplinks.Flags().IntVar(&uplinkCount, "daemons", defaultProcesses, "proxies, each with a group of three members")
	uplinks.Flags().DurationVar(&heartbeatInterval, "heartbeat", time.Second, "time between two reports of a proxy")
	var peerCount int
	peers := experimentCommand("peers", "Measure unused connections to other processes",
		func(command *cobra.Command, _ string) (any, error) {
			return ctexperiment.PeerConnections(command.Context(), peerCount)
		})
	peers.Flags().IntVar(&peerCount, "peers", defaultProcesses, "other processes")
	command.AddCommand(path, failover, idle, uplinks, peers,
		deploymentCommand("share", "Measure the share of reads that replicas serve", ctexperiment.ReplicaReads),
		deploymentCommand("overload", "Measure throughput and goodput under overload", ctexperiment.Overload))
	return command
}

// deploymentExperiment measures a deployment. The value domainDelay is the one-way
// delay of packets between failure domains.
type deploymentExperiment func(
	ctx context.Context, binFolder string, d *ctexperiment.Deployment, domainDelay time.Duration,
) ([]*ctexperiment.LoadReport, error)

// deploymentCommand returns the command of an experiment on a deployment, which its
// flags select.
func deploymentCommand(use, short string, measure deploymentExperiment) *cobra.Command {
	var deployment string
	var domainDelay time.Duration
	command := experimentCommand(use, short, func(command *cobra.Command, binFolder string) (any, error) {
		d, err := ctexperiment.FindDeployment(deployment)
		if err != nil {
			return nil, err
		}
		if domainDelay == 0 {
			domainDelay = d.DomainDelay
		}
		return measure(command.Context(), binFolder, d, domainDelay)
	})
	command.Flags().StringVar(&deployment, "deployment", "fit-registry", "fit-registry or narocila-db")
	command.Flags().DurationVar(&domainDelay, "between", 0,
		"one-way time between failure domains; the deployment's where it is 0")
	return command
}

// measureFailovers returns a report for each kind of failure.
func measureFailovers(
	command *cobra.Command, binFolder string, d *ctexperiment.Deployment, runs int,
) (any, error) {
	var reports []*ctexperiment.FailoverReport
	for _, f := range []ctexperiment.Failure{
		ctexperiment.FailureKill, ctexperiment.FailureIsolate, ctexperiment.FailureLeaving, ctexperiment.FailureControlLeader,
	} {
		report, err := ctexperiment.Failover(command.Context(), binFolder, d, f, runs)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

// experimentCommand returns the command of one experiment. It passes the folder of the
// running program to the experiment, since the other programs are in the same folder,
// and prints the report as JSON.
func experimentCommand(
	use, short string, run func(command *cobra.Command, binFolder string) (any, error),
) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			executable, err := os.Executable()
			if err != nil {
				return errors.Wrap(err, "find this program")
			}
			report, err := run(command, filepath.Dir(executable))
			if err != nil {
				return err
			}
			return printJSON(command, report)
		},
	}
}

// printJSON prints a value as indented JSON to the command's output.
func printJSON(command *cobra.Command, value any) error {
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print the result")
}

// newLoad returns the command that runs a load.
func newLoad() *cobra.Command {
	var options ctload.Options
	var asJSON bool
	command := &cobra.Command{
		Use:   "load",
		Short: "Put load on proxies and measure it",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if len(options.Addresses) == 0 || len(options.Groups) == 0 {
				return errors.New("nothing to put load on: give --address and --group")
			}
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
	flags.StringSliceVar(&options.Groups, "group", nil, "database groups")
	flags.IntVar(&options.Sessions, "sessions", defaultSessions, "sessions at once")
	flags.DurationVar(&options.Duration, "for", defaultLoadWindow, "how long to run")
	flags.Float64Var(&options.Rate, "rate", 0, "requests a second in all; 0 for closed loops")
	flags.Float64Var(&options.ReadShare, "reads", defaultReadShare, "share of reads")
	flags.StringVar(&options.MaxAge, "max-age", "", "maximum age of the data that reads accept")
	flags.IntVar(&options.SwitchProxyEvery, "moves", 0, "requests between two moves to another proxy; 0 for none")
	flags.DurationVar(&options.LatencyLimit, "in-time", 0, "latency up to which a request counts as in time; 0 for any")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the random choices")
	flags.BoolVar(&options.IdempotencyKeys, "keys", false, "give each write an idempotency key")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return command
}
