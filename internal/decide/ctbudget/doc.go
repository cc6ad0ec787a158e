/*
Package ctbudget decides how much memory the clients of a process may hold, how many of them may be
connected, and which one is closed when there is no room for another.

# Load

The package answers clients that nobody controls: large messages from many of them at once, answers
that are not read, and crowds that stop half-way. Each client alone may be legal, and all together
need more memory or descriptors than the process has.

# Limits

The limits come from the memory and the descriptors that the process may use. A client is charged for
messages that arrive or are handled, for session state, and for answers that it has yet to read. What
every client needs, such as its buffers, is covered by the limit on the number of clients, so that
small messages are never refused.

# Eviction

A charge over the limit of all clients is granted if clients that have made no progress for MinStall
hold enough: the one with the largest product of bytes and time without progress is closed first.
Otherwise the charge is denied. A new client over the limit on their number replaces one that has not
finished its first message, or else the one that has been without progress for the longest time. A
client with a statement running is never closed.

# Usage

	resources := ctbudget.Resources{MemoryMB: 136, Descriptors: 3010}
	ledger := ctbudget.NewLedger(ctbudget.LimitsOf(resources, share))
	verdict := ledger.Open(now, client)
	...
	switch v := ledger.Charge(now, client, ctbudget.UseMessage, 1<<20).(type) {
	case ctbudget.Granted:
		closeAll(v.Evicted)
	case ctbudget.Denied:
		...
	}
*/
package ctbudget
