/*
Package ctgateway serves callers' sessions in a proxy: it routes their single
statements and transactions to members over pooled connections, with transaction
pooling and session consistency.

One goroutine serves each caller. Package ctdialog keeps the state of a session,
ctplace orders the members that may run a statement, and ctfresh finds the point
that a replica must have applied.

# Authority

A proxy sends work to a group's primary, and acknowledges writes, only while it has
authority: a lease on its view, which control extends with each reply to a report.
Before control has another member promoted, it raises the group's fence, which is
the term of the next primary. Once a proxy enforces a fence, it acknowledges no
write of an earlier term, and reports so to control. A proxy that had no authority during
the whole change sees only its result: what ran at the primary of an earlier term than the
view's is not acknowledged either, and gives no sample of the group's log.

# Planned stops

Stop ends all sessions in phases, so that every query that was read is answered. See
package ctstop.

# Usage

	gateway := ctgateway.New(options)
	go gateway.Run(ctx)
	go gateway.Serve(listener)
	...
	gateway.Stop(ctx, times)
*/
package ctgateway
