/*
Package ctcommand is the command line of cherviltrestle: it starts the processes and
has the operators' commands.

# Commands

The commands proxy and control start a process. The operators' commands are config,
status, explain, deeds, keys, control init and control remove. Every command has a
help text. Every setting is a flag and an environment variable.

# Exit codes

The exit code is 0 for success, 1 for a failure, 2 for wrong usage or settings, and
3 for a conflict, such as a change that is based on an old revision.

# Usage

	os.Exit(ctcommand.Main(os.Args[1:], ctcommand.Environment{
		Variables: os.Environ(),
		Out:       os.Stdout,
		Err:       os.Stderr,
	}))
*/
package ctcommand
