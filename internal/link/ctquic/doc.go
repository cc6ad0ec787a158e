/*
Package ctquic transports frames between the system's own processes over QUIC with
mutual TLS.

# Connections and streams

An Endpoint has one UDP socket, on which it accepts and opens connections. It opens
one connection for each peer address and shares it between all streams to that
address. If the connection breaks, the next call of Open opens a new one. The side
that opened a connection keeps it alive, and closes it when it has had no streams
for some seconds.

# Usage

	endpoint, err := ctquic.Listen(address, keys)
	go endpoint.Serve(ctx, serveStream)
	stream, err := endpoint.Open(ctx, peer)
	stream.CloseBoth(code)
*/
package ctquic
