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

# Usage

	holding := ctholding.New(options)
	go holding.Run(ctx)
	holding.Follow(view)
	holding.Serve(ctx, way, open)
*/
package ctholding
