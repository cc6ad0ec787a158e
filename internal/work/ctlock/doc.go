/*
Package ctlock states the order in which the shared tables are locked, and
checks it at run time.

# The order

A worker locks tables in ascending order of their Rank and never locks a table
of a rank that it holds already or has passed. The ranks are listed in rank.go,
the one place where the order stands. Mutex.Lock panics when the order is
broken, in tests and in service alike: it costs one comparison, and a broken
order is a deadlock that waits for its moment.

# Usage

	var held ctlock.Held
	sessions := ctlock.Mutex{Rank: ctlock.RankSessions}
	sessions.Lock(&held)
	defer sessions.Unlock(&held)
*/
package ctlock
