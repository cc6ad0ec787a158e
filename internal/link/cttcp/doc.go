/*
Package cttcp carries frames between the system's processes over TCP, where the
platform gives them no keys and its network has to keep strangers out.

A way is one connection. A connection that falls silent is found by keep-alive
probes and by the time that written bytes may go without being acknowledged.

# Usage

	listener, err := cttcp.Listen(address)
	go listener.Serve(ctx, serveWay)
	way, err := cttcp.Ways{}.Open(ctx, peer)
*/
package cttcp
