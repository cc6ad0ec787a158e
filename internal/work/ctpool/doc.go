/*
Package ctpool runs events on a fixed pool of workers.

# Order

Each event has a key. Events of one key are handled in the order in which they
were put; events of different keys may be handled at once. A worker sleeps
while it has no event.

# Blocking

A handler never waits for a peer, a disk or another event. Whatever waits is a
row of a shared table with a deadline.

# Usage

	pool := &ctpool.Pool[event]{Workers: 8, Handle: handle}
	pool.Start()
	defer pool.Stop()
	pool.Put(ctpool.Key(session), asked{})
*/
package ctpool
