/*
Package ctlock defines the lock order of the shared tables and checks it at run
time, which prevents deadlocks.

# Lock order

A goroutine locks tables in ascending order of their Rank: the rank of the next
lock must be higher than all ranks that the goroutine holds. Locks are released in
the reverse order. The ranks are defined in rank.go and nowhere else.

Mutex.Lock panics if the order is broken, in production as well as in tests. The
check costs one comparison, and a broken order can deadlock at any time.

# Usage

	var held ctlock.Held
	sessions := ctlock.Mutex{Rank: ctlock.RankSessions}
	sessions.Lock(&held)
	defer sessions.Unlock(&held)
*/
package ctlock
