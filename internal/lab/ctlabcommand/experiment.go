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

// defaultRuns is how many failovers are measured where nothing is said.
const defaultRuns = 10

// defaultProcesses is how many daemons control is measured with.
const defaultProcesses = 100

// defaultHeartbeatInterval is that of the proxies.
const defaultHeartbeatInterval = 250 * time.Millisecond

// The defaults of a load.
const (
	defaultSessions   = 20
	defaultLoadWindow = 10 * time.Second
	defaultReadShare  = 0.9
)

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
	failover := experimentCommand("failover", "Measure the gap of writes where a primary or control's leader fails",
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
	failover.Flags().IntVar(&runs, "runs", defaultRuns, "changes of each sort")
	failover.Flags().DurationVar(&leaseTTL, "lease", 0, "how long a write lease lasts; the deployment's where it is 0")
	failover.Flags().StringVar(&deployment, "deployment", "fit-registry", "fit-registry or narocila-db")
	idle := experimentCommand("idle", "Measure what an idle fleet spends",
		func(command *cobra.Command, binFolder string) (any, error) {
			return ctexperiment.Idle(command.Context(), binFolder, proxies, heartbeatInterval)
		})
	idle.Flags().IntVar(&proxies, "proxies", 1, "proxies in each of three failure domains")
	idle.Flags().DurationVar(&heartbeatInterval, "heartbeat", defaultHeartbeatInterval,
		"time between two reports of a proxy")
	var uplinkCount int
	uplinks := experimentCommand("daemons", "Measure control with many daemons in this process",
		func(command *cobra.Command, binFolder string) (any, error) {
			return ctexperiment.Uplinks(command.Context(), binFolder, uplinkCount, heartbeatInterval)
		})
	uplinks.Flags().IntVar(&uplinkCount, "daemons", defaultProcesses, "daemons, and groups of three members")
	uplinks.Flags().DurationVar(&heartbeatInterval, "heartbeat", time.Second, "time between two reports of a daemon")
	var peerCount int
	peers := experimentCommand("peers", "Measure connections to other processes that are not used any more",
		func(command *cobra.Command, _ string) (any, error) {
			return ctexperiment.PeerConnections(command.Context(), peerCount)
		})
	peers.Flags().IntVar(&peerCount, "peers", defaultProcesses, "other processes")
	command.AddCommand(path, failover, idle, uplinks, peers,
		deploymentCommand("share", "Measure the share of reads that replicas serve", ctexperiment.ReplicaReads),
		deploymentCommand("overload", "Measure what runs in time under too much load", ctexperiment.Overload))
	return command
}

// deploymentExperiment measures a deployment. Between is how long a packet
// takes from one failure domain to another.
type deploymentExperiment func(
	ctx context.Context, binFolder string, d *ctexperiment.Deployment, domainDelay time.Duration,
) ([]*ctexperiment.LoadReport, error)

// deploymentCommand returns the command of an experiment on the deployment of a
// user.
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

// experimentCommand returns the command of one experiment, which runs the programs
// that lie beside this one.
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
	flags.StringVar(&options.MaxAge, "max-age", "", "age that reads accept")
	flags.IntVar(&options.SwitchProxyEvery, "moves", 0, "requests between two moves to another proxy; 0 for none")
	flags.DurationVar(&options.LatencyLimit, "in-time", 0, "time in which a request is of use; 0 for any")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the choices")
	flags.BoolVar(&options.IdempotencyKeys, "keys", false, "give each write an idempotency key")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return command
}
