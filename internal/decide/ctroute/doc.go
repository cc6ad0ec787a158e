/*
Package ctroute decides which member serves a request.

# Rules

A write goes to the group's primary. A read that may be served by a replica
goes to the ready replica with the lowest expected delay, among those that are
not known to lack what the session has seen, and to the primary where no
replica is left, or where all of them are busy and the primary has a free slot.
While the primary is being replaced, requests that need it wait.

The choice is made on what this proxy last heard of the members; the holder of
the member checks it against what is true there, so a choice on old news costs
a second try and never a wrong answer.

# Usage

	choice := ctroute.Choose(view, hints, query)
	switch c := choice.(type) {
	case ctroute.Send:
		...
	case ctroute.Refuse:
		...
	}
*/
package ctroute
