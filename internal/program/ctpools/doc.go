/*
Package ctpools keeps a proxy's connections to the members: each proxy has a
share of what a member accepts, opens connections as they are needed and lends
one out at a time.

A reader goroutine waits on each connection, so that one that the member closes
is found while it rests. Requests that find no connection wait in the order in
which they came.

# Usage

	pools.Follow(&held, view)
	conn, err := pools.Acquire(&held, member, state, until)
	answers, err := conn.Exchange(queries, deadline)
	pools.Release(&held, conn, ctpools.Reusable)
*/
package ctpools
