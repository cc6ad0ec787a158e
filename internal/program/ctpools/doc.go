/*
Package ctpools keeps a proxy's connections to the members: each proxy has a
share of what a member accepts, opens connections as they are needed and lends
one out at a time.

A reader goroutine waits on each connection, so that one that the member closes
is found while it rests. Requests that find no connection wait in the order of
their priority, and then in that in which they came.

# Carrying

Where a member accepts too few connections for all proxies, those of its failure
domain share them. They carry the queries of the others, which reach them over
ways that cost the member nothing.

# Usage

	pools.Follow(&held, view)
	conn, err := pools.Acquire(&held, member, ctpools.Wish{State: state, Until: until})
	answer, err := conn.Run(state, query, ctpools.Limits{Until: deadline})
	pools.Release(&held, conn, ctpools.Use{Answered: err == nil, Close: err != nil})
*/
package ctpools
