/*
Package ctentry serves callers: it accepts their connections and carries out
what package ctsession decides.

# Goroutines and workers

Each caller's connection has one goroutine, the conversation, which does all
input and output of the session. It puts what happens as events into a pool of
workers and performs the effects that come back. A worker copies the view and the
hints, lets the session decide, and hands the effects over; it never waits for a
caller or a peer. The retry budget and the throttles are shared by all sessions;
they are locked for a moment where a session uses them.

# Waiting sessions

A session that waits for a member tries again after a while, and at once when a
newer view comes.

# Usage

	entry := ctentry.New(ctentry.Options{...})
	entry.Start(ctx)
	err := entry.Serve(listener)
	ended := entry.Drain(ctx)
*/
package ctentry
