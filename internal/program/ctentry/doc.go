/*
Package ctentry serves callers: it accepts their connections and carries out
what package ctsession decides.

# Goroutines and workers

Each caller's connection has one goroutine, the conversation, which does all
input and output of the session. It puts what happens as events into a pool of
workers and performs the effects that come back. A worker locks the view, the
hints and the sessions, in the order of their ranks, lets the session decide,
unlocks, and hands the effects over; it never waits for a caller or a peer.

# Usage

	entry := ctentry.New(ctentry.Options{...})
	err := entry.Serve(ctx, listener)
	entry.Drain()
*/
package ctentry
