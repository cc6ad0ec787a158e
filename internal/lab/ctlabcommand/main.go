package ctlabcommand

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Main runs the command line and returns the exit code: 0, or 1 after an error. It
// cancels the running command on SIGINT or SIGTERM.
func Main(arguments []string, output, errorOutput io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "ctlab",
		Short:         "Stand-ins and tools to test cherviltrestle",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(output)
	root.SetErr(errorOutput)
	root.SetArgs(arguments)
	root.AddCommand(newStandin(errorOutput), newSession(), newLoad(), newCompare(), newExperiment(), newSoak(errorOutput))
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintf(errorOutput, "ctlab: %v\n", err)
		return 1
	}
	return 0
}
