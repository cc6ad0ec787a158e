/*
Package ctlabcommand implements the command line of ctlab, the test program of
cherviltrestle. Its commands run stand-ins for backend servers, single sessions,
loads, performance experiments and soak tests.

# Usage

	os.Exit(ctlabcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
*/
package ctlabcommand
