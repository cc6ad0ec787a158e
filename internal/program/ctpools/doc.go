/*
Package ctpools pools a proxy's connections to the members. Each proxy may open a
share of the connections that a member accepts, and opens them on demand. Each
connection has one user at a time.

A reader goroutine waits on each connection. It finds out at once when the member
closes a connection, even an idle one.

# Admission

ctadmission decides which waiting request gets a connection, how many statements may be in flight
at a member, and when connections are opened after the member has rejected some. Requests wait where
the connections to the member are. A request that is not expected to get one in time is rejected
on arrival.

# Answers

The protocol to the members numbers neither queries nor answers, and a member may send an
answer twice. ctreply judges whether each answer belongs to its query. A connection on which
one does not is closed; the answer is not handed on. A query is not sent over a connection on
which something has arrived since the last answer. Opener opens connections with the same
checks outside of the pools.

# Forwarding

A member may accept too few connections for all proxies. Then only the proxies of
its failure domain own connections to it, and they forward the queries of the
other proxies. Those queries arrive over streams between the proxies, which use up
none of the member's connections.

# Usage

	pools.ApplyView(&held, view)
	conn, err := pools.Acquire(&held, member, ctpools.AcquireOptions{State: state, Deadline: deadline})
	answer, err := conn.Run(state, query, ctpools.Limits{Deadline: deadline})
	pools.Release(&held, conn, ctpools.Result{Answered: err == nil, Discard: err != nil})
*/
package ctpools
