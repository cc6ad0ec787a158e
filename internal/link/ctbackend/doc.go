/*
Package ctbackend speaks the PostgreSQL protocol to backend servers.

# Connections

Dial starts a connection with the help of pgconn, which knows the ways to
authenticate, and then takes it over. Run sends a request and hands each
message of the answer to a Sink as it comes, up to the ReadyForQuery that ends
it. Messages are passed on as bytes; only those are decoded that decide
something.

# Usage

	connection, err := ctbackend.Dial(ctx, target)
	end, err := connection.Run(ctx, payload, sink)
	if end.Transaction == ctbackend.TransactionIdle {
		...
	}
*/
package ctbackend
