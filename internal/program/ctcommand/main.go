package ctcommand

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
)

// Version is the version of the programs.
const Version = "0.1.0"

// The exit codes, described in the package comment.
const (
	exitSuccess  = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
)

// Environment has the inputs and outputs of a command beside its arguments.
type Environment struct {
	// Variables is a list of name=value.
	Variables []string
	// Out receives the output of commands.
	Out io.Writer
	// Err receives the error of a command that failed, and the logs of processes.
	Err io.Writer
	// ExtraCommands are added to the root command.
	ExtraCommands []*cobra.Command
}

// Main runs the command line and returns the exit code. SIGINT and SIGTERM cancel the
// command's context.
func Main(arguments []string, environment Environment) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := Root(environment)
	root.SetArgs(arguments)
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintf(environment.Err, "cherviltrestle: %v\n", err)
		return exitCode(err)
	}
	return exitSuccess
}

// exitCode returns the exit code for an error by its kind.
func exitCode(err error) int {
	switch cterror.KindOf(err) {
	case cterror.Invalid:
		return exitUsage
	case cterror.Conflict:
		return exitConflict
	default:
		return exitFailure
	}
}

// Root returns the root command with all its subcommands.
func Root(environment Environment) *cobra.Command {
	root := &cobra.Command{
		Use:           "cherviltrestle",
		Short:         "A database proxy with session consistency",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       Version,
	}
	root.SetOut(environment.Out)
	root.SetErr(environment.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return cterror.Wrap(cterror.Invalid, err, "read the flags", "see --help")
	})
	root.PersistentPreRunE = func(command *cobra.Command, _ []string) error {
		return ctsettings.ApplyEnvironment(command.Flags(), environment.Variables)
	}
	root.AddCommand(
		newProxy(environment), newControl(environment), newConfig(environment), newStatus(environment),
		newDeeds(environment), newExplain(environment), newKeys(environment), newSettings(),
	)
	root.AddCommand(environment.ExtraCommands...)
	return root
}
