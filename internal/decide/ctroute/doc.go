/*
Package ctroute chooses the member that serves a request: the primary of the
request's group or one of its replicas.

# Rules

A write goes to the group's primary. A read that a replica may serve goes to the
ready replica with the lowest expected delay. A replica that is behind what the
session has seen is tried after the others. The read goes to the primary if no
replica is left, or if the chosen one is busy and the primary has a free slot. While
the primary is being replaced, a request that needs it gets a Refuse that may be
retried.

A choice is based on the last hint that this proxy received from each member,
which may be out of date. The member's holder checks the request against the
member's current state. A choice from outdated hints therefore costs a second
try, and never gives a wrong answer.

# Usage

	choice := ctroute.Choose(view, hints, request)
	switch c := choice.(type) {
	case ctroute.Send:
		forward(c.Holder, c.Member)
	case ctroute.Refuse:
		refuse(c.Reason, c.Retryable)
	}
*/
package ctroute
