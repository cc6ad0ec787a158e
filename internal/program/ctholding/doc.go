/*
Package ctholding serves the members that this proxy holds. A holder is the
proxy that owns all connections to a member. It runs the requests that other
proxies forward for their callers, polls the members' status, and tracks the
replication of writes.

# Structure

Each stream from an entry proxy has one goroutine, the exchange. It reads the
requests, runs them on the backend server and writes the answers. Each held
member has a monitor. It reads the member's status and owns the advisory lock
that makes this proxy the only holder.

Exchanges and monitors put events into a pool of workers. A worker locks the
tables that it needs in the order of their ranks, calls the decision packages,
unlocks the tables and delivers the results.

# Taking over a member

A holder starts when the view names it. It acquires an advisory lock on the
member, which ends with the connection. Two holders therefore never admit
requests at the same time. An earlier holder that still drains keeps the
connections of its open transactions. The new holder subtracts them from its own
limits.

# Handing a group over

During a planned handover, the holder of the primary admits no new requests and
waits for the running ones to end. It then surrenders the write lease of the term
permanently.

# Idempotency keys

A request with an idempotency key runs in one transaction with the insertion of
a record for the key. If the record exists already, the request ran before, and
none of it runs again.

# Usage

	holder := ctholding.New(options)
	holder.OnUrgentChange(uplink.TriggerReport)
	holder.Start(ctx)
	holder.ApplyView(&held, view)
	holder.ServeExchange(ctx, stream, first)
	drained := holder.Drain(ctx)
*/
package ctholding
