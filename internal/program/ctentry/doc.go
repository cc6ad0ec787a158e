/*
Package ctentry is the proxy's front end for callers. It accepts their connections,
passes what happens as events to the sessions of package ctsession, and performs
the effects that the sessions decide on.

# Goroutines and workers

Each caller's connection has one goroutine, which does all input and output of the
session. It passes events to a pool of workers and performs the effects that come
back. A worker copies the view and the hints, runs the session's state machine on
the event, and returns the effects; it never waits for a caller or a peer. All
sessions share the retry budget and the throttles, which are locked only briefly at
each use.

# Waiting sessions

A session that waits for a member tries again after a delay, and at once when a
newer view arrives.

# Usage

	entry := ctentry.New(options)
	entry.Start(ctx)
	entry.Serve(listener)
	ended := entry.Drain(ctx)
*/
package ctentry
