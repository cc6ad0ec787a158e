/*
Package ctdeadline wakes waiting table entries when their time has come.

# Deadlines

A Queue holds keys with their deadlines. One goroutine sleeps until the next
deadline and calls Due for each key whose time has come; Due usually puts an
event into a worker pool. A key has one deadline; setting it again replaces it.

# Usage

	deadlines := &ctdeadline.Queue[ctid.Session]{Clock: clock, Due: expire}
	go deadlines.Run(ctx)
	deadlines.Set(session, clock.Now().Add(limit))
	deadlines.Clear(session)
*/
package ctdeadline
