package ctcommand

import (
	"context"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcontrol"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctproxy"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// settings are those of a process.
type settings interface {
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
	return newProcess("control", "Run a control process",
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
}

// newProcess returns the command that checks a process's settings and runs it.
func newProcess(use, short, long string, s settings, run func(ctx context.Context) error) *cobra.Command {
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
