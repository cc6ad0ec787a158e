/*
Package ctpool handles events on a fixed pool of worker goroutines. Each event has
a key, which selects the worker.

# Order

Events of one key are handled one after the other, in the order in which they were
put. Events of different keys may be handled concurrently. A worker sleeps while
its queue is empty.

# Blocking

A handler must not block on a peer, a disk or another event, because that delays
all events of its worker. An operation that has to wait is stored as a row of a
shared table, with a deadline.

# Usage

	pool := &ctpool.Pool[event]{Workers: 8, Handle: handle}
	pool.Start()
	defer pool.Stop()
	pool.Put(ctpool.Key(session), event{})
*/
package ctpool
