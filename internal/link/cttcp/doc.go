/*
Package cttcp transports frames between the system's own processes over TCP. It is for
platforms that give the processes no keys. Its connections are neither encrypted nor
authenticated, so the platform's network must keep other parties out.

Each stream has its own connection. Keep-alive probes and a limit on the time that
sent data may stay unacknowledged end a connection whose peer is unreachable.

# Usage

	listener, err := cttcp.Listen(address)
	go listener.Serve(ctx, serveStream)
	stream, err := cttcp.Transport{}.Open(ctx, peer)
*/
package cttcp
