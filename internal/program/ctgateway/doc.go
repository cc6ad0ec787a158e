/*
Package ctgateway serves callers whose sessions are made of single statements and
transactions, over this proxy's own connections to the members.

A goroutine serves each caller; what the session means is decided by ctdialog,
where a statement goes by ctplace, and how old a replica may be by ctfresh. What
this proxy may do at a group's primary depends on its authority: control gives
it for a short time, and takes it back with a fence before another member is
promoted.

# Usage

	gateway := ctgateway.New(options)
	go gateway.Run(ctx)
	go gateway.Serve(listener)
	...
	gateway.Drain(ctx)
*/
package ctgateway
