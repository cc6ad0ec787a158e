/*
Package ctstandin is a stand-in for a backend server, for tests and experiments
without a real database. It is a member of a database group: it speaks the
PostgreSQL protocol, reports its term and log position, replicates asynchronously
and announces itself.

# What it does

It runs the statements of package ctsql over the log of package ctwal. It refuses
connections beyond its limit and counts the refusals. Requests beyond its slots
still run, but are counted as violations, because the system under test must not
exceed the slots that a member has announced. Delays and faults can be changed over
HTTP while it runs.

# Goroutines and workers

Each connection has a goroutine that reads and writes. A pool of workers runs the
statements over the shared tables. A statement that lasts for some time occupies no
worker: its session waits in a queue of deadlines and continues at its deadline.

# Usage

	server := ctstandin.New(options)
	err := server.Run(ctx)
*/
package ctstandin
