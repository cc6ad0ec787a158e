/*
Package ctholding serves the members that this proxy holds: it owns all the
connections to them, runs the requests that entries send, and watches the
members.

# Parts

A stream of an entry has one goroutine, the exchange, which does the input and
output of its requests. Each held member has a monitor, which asks for its
status and owns the lock that makes this proxy the one holder. All of them put
events into a pool of workers; a worker locks the tables that it needs in the
order of their ranks, lets the decision packages decide, unlocks and hands the
orders over.

# Taking over

A holder starts when the view names it. It takes an advisory lock on the member,
which ends with the connection, so that two holders never run requests at once.
An earlier holder that is still draining keeps the connections of its open
transactions; the new one counts them out of its own limits.

# Giving up

While control hands a group over, the holder of its primary admits nothing new,
lets the work in hand end, and gives the write lease up for good.

# Idempotency keys

A request with a key runs together with the writing of its record. Where the
record is there already, the request ran before, and nothing of it runs again.

# Usage

	holding := ctholding.New(options)
	holding.Start(ctx)
	holding.Follow(&held, view)
	holding.Serve(ctx, way, open)
*/
package ctholding
