/*
Package ctquic carries frames between the system's processes over QUIC with
mutual TLS.

# Connections and streams

An Endpoint has one UDP socket, on which it accepts connections and opens them.
It keeps one connection for each address it asks, and opens a stream on it for
each exchange. A connection that breaks is opened again by the next exchange. The
side that opened a connection keeps it alive while it has streams, and closes it
some seconds after the last one has ended.

# Usage

	endpoint, err := ctquic.Listen(address, keys)
	go endpoint.Serve(ctx, serveStream)
	stream, err := endpoint.Open(ctx, peer)
	stream.End(code)
*/
package ctquic
