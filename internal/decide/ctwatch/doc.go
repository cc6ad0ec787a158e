/*
Package ctwatch keeps those who wait for a member to reach a point.

# Waiting

A request that needs more than the replica is known to hold waits a moment; the
holder of a primary waits for a replica to receive a write. Both are entries of
a List, with a deadline. Each sample of the member's status ends the entries
that it covers.

# Usage

	var list ctwatch.List
	list.Add(ctwatch.Entry{Key: 4, Point: point, Deadline: deadline})
	reached := list.Sample(status, history)
	missed := list.Expire(now)
*/
package ctwatch
