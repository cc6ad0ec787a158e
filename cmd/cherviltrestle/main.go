// Command cherviltrestle runs the processes of the system and the operators'
// command line.
package main

import (
	"os"

	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcommand"
)

func main() {
	os.Exit(ctcommand.Main(os.Args[1:], ctcommand.Environment{
		Variables: os.Environ(),
		Out:       os.Stdout,
		Err:       os.Stderr,
	}))
}
