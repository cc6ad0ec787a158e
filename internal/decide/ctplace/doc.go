/*
Package ctplace selects the member that runs a statement, among those that may run it.

# Choice

What a proxy knows of a member's load is always a little old, and many proxies choose at the
same time. If all of them follow the same information, they overload the members in turn.
Choose therefore relies on what differs between proxies: the answers that each has received
itself, and its own statements in flight, which are never out of date. It draws two of the best
few members and takes the one with the shorter expected wait. Members in other regions, which
are recognized by their lowest response times, get a part of the statements once the wait for
the near ones is longer than for them; the part grows with the difference.

Outcomes records whether a member's requests succeed. A member that fails a part of them is
ejected: it comes last for a while, and is readmitted by single requests. At most a half of the
members that may run a statement are ejected, and none if all fail.

Order is the order by expected latency alone.

# Usage

	decision := ctplace.Choose(now, candidates, proxies, rand.Float64)
	member := decision.Ranked[0].Member
*/
package ctplace
