/*
Package ctadmission decides when a proxy sends work to a member whose capacity is scarce:
which of the waiting requests is next, how many statements may be in flight, and when
connections may be opened.

# Statements in flight

Many proxies share a member that runs a few statements, queues some and rejects the
rest. Without a limit, each proxy sends rejected statements again at once, and these
attempts take the place of others. A Limit starts without a bound. When the member
rejects a statement, the bound is set below what was in flight, and then grows by one
each round trip (additive increase, multiplicative decrease), so that proxies converge
to equal shares. For some time after a rejection, responses that take much longer than
usual lower it, too. It is never below 1. At that bound, rejections pause the sending for
a random, growing time. The bound is removed when nothing has been rejected or late for
some time. Where no member rejects anything, there is none.

# Queue

Queue orders the requests that wait by priority, then fairly between workspaces
(start-time fair queueing), then by deadline. Statements of open transactions never
wait in it: they have their connection already. Queue also estimates how long a request
would wait. A request that can't start before its deadline is rejected on arrival, so
that its client can use another proxy.

# Connections

A member counts the connections of a process that lost power for some seconds. Opening
paces the attempts after the member has rejected one because of its connection limit.
Until then the connections that are open are the most that may be open: they are reused for
other workspaces, and one attempt at a time finds out whether the member accepts more.

# Usage

	if limit.Allows(now) {
		request, ok := queue.Next(now, fits)
		limit.Start()
		...
		limit.Finish(now, sentAt, ctadmission.Answered{Latency: latency}, random)
	}
*/
package ctadmission
