// Command ctlab runs the stand-ins and the tools with which cherviltrestle is tested
// and measured.
package main

import (
	"os"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctlabcommand"
)

func main() {
	os.Exit(ctlabcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
