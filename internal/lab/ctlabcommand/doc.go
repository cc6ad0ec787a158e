/*
Package ctlabcommand is the command line of ctlab, the program with the stand-ins
and tools by which cherviltrestle is tried out and measured.

# Usage

	os.Exit(ctlabcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
*/
package ctlabcommand
