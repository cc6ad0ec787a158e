/*
Package ctdeadline provides a timer queue: it calls a function for each key whose
deadline has passed.

# Deadlines

A Queue has at most one deadline per key; setting it again replaces it. One
goroutine serves all keys. It sleeps until the first deadline and calls OnExpired
for each key whose deadline has passed. OnExpired usually puts an event into a
worker pool, since a slow call delays the other keys.

# Usage

	deadlines := &ctdeadline.Queue[ctid.Session]{Clock: clock, OnExpired: expire}
	go deadlines.Run(ctx)
	deadlines.Set(session, clock.Now().Add(timeout))
	deadlines.Clear(session)
*/
package ctdeadline
