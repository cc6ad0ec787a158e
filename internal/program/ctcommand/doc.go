/*
Package ctcommand is the command line of cherviltrestle.

# Commands

The processes are started with proxy and control. Operators use config, status,
explain, deeds and keys, and control init and remove. Every command has a help text; every setting is a flag and an
environment variable.

# Exit codes

0 stands for success, 1 for a failure, 2 for wrong usage or settings, and 3 for
a change that lost a race.

# Usage

	os.Exit(ctcommand.Main(os.Args[1:], os.Environ(), os.Stdout, os.Stderr))
*/
package ctcommand
