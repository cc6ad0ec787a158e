/*
Package ctstandin is a stand-in for a backend server: a member of a database
group that speaks the PostgreSQL protocol, exposes its term and log position,
replicates asynchronously and announces itself.

# What it does

It runs the statements of package ctsql over the log of package ctwal, keeps its
limits of slots and connections, and counts what went over them. Its delays and
faults can be set while it runs, over HTTP. It checks that callers keep to what
they were told: more statements at once than slots is counted as a violation.

# Goroutines and workers

Each connection has a goroutine that reads and writes; a pool of workers runs
the statements over the shared tables. A statement that takes time is an entry
with a deadline.

# Usage

	server, err := ctstandin.New(options)
	err = server.Run(ctx)
*/
package ctstandin
