// Command cherviltrestle starts proxies and control processes, and has the operators'
// commands.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcommand"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

func main() {
	os.Exit(ctcommand.Main(os.Args[1:], ctcommand.Environment{
		Variables:     os.Environ(),
		Out:           os.Stdout,
		Err:           os.Stderr,
		ExtraCommands: []*cobra.Command{platform.NewCommand(os.Stdout)},
	}))
}
