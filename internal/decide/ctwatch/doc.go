/*
Package ctwatch stores the waiters of a member: operations that continue once the
member has reached a point of its group's log.

# Waiting

A read waits for a replica that hasn't applied enough for it yet, and the holder of
a primary waits for a replica to receive a write. Both are a Waiter, with a
deadline. Each status of the member removes the waiters whose point it covers, and
Expire removes those whose deadline has passed.

# Usage

	var waiters ctwatch.Waiters
	waiters.Add(ctwatch.Waiter{Key: 4, Point: point, Deadline: deadline})
	reached := waiters.RecordStatus(status, history)
	expired := waiters.Expire(now)
*/
package ctwatch
