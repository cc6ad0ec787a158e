package ctcommand

import (
	"context"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcontrol"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctproxy"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctstore"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// processSettings are the settings of a proxy or a control process.
type processSettings interface {
	Register(flags *pflag.FlagSet)
	Check() error
}

func newProxy(environment Environment) *cobra.Command {
	var s ctsettings.Proxy
	return newProcess("proxy", "Run a proxy",
		"Run a proxy. It serves callers, and holds the connections to backend servers of its failure domain.\n"+
			"SIGTERM and SIGINT stop it as planned: requests and transactions in flight end first.",
		&s, func(ctx context.Context) error {
			logger := ctlog.New(environment.Err, s.LogLevel, "proxy", string(s.Name))
			proxy, err := ctproxy.Build(s, ctclock.System{}, logger)
			if err != nil {
				return err
			}
			return proxy.Run(ctx)
		})
}

func newControl(environment Environment) *cobra.Command {
	var s ctsettings.Control
	command := newProcess("control", "Run a control process",
		"Run a control process. It keeps the configuration and the groups' primaries on its disk,\n"+
			"and decides on changes of primaries.",
		&s, func(ctx context.Context) error {
			logger := ctlog.New(environment.Err, s.LogLevel, "control", string(s.Name))
			process, err := ctcontrol.Build(s, ctclock.System{}, logger)
			if err != nil {
				return err
			}
			return process.Run(ctx)
		})
	command.AddCommand(newControlInit(), newControlRemove())
	return command
}

// newControlInit returns the command that creates a new fleet. It opens the data
// folder itself, so the control process must not be running.
func newControlInit() *cobra.Command {
	var name ctid.Control
	var dataFolder string
	command := &cobra.Command{
		Use:   "init",
		Short: "Begin a new fleet on the empty disk of its first control process",
		Long: "Begin a new fleet on the empty disk of its first control process. It is run once, on one VM.\n" +
			"Other control processes join by their setting --controls, as does one that has lost its disk.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if name == "" || dataFolder == "" {
				return cterror.New(cterror.Invalid, "--name or --data is missing", "give both, as for the process")
			}
			store, err := ctstore.Open(dataFolder, string(name))
			if err != nil {
				return err
			}
			if err := ctcontrol.Bootstrap(store, name, time.Now()); err != nil {
				_ = store.Close()
				return err
			}
			command.Printf("began a new fleet in %s; start %s now\n", dataFolder, name)
			return store.Close()
		},
	}
	command.Flags().Var(ctsettings.TextValue(&name, "name"), "name", "name of the control process")
	command.Flags().StringVar(&dataFolder, "data", "", "its data folder")
	return command
}

// newProcess returns a command that has the settings as flags. It checks them and then
// calls run, which returns when the process ends.
func newProcess(use, short, long string, s processSettings, run func(ctx context.Context) error) *cobra.Command {
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Long:  long,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := s.Check(); err != nil {
				return err
			}
			return run(command.Context())
		},
	}
	s.Register(command.Flags())
	return command
}
