/*
Package ctbackend is the client side of the PostgreSQL protocol: it connects to
backend servers, sends them requests and reads the answers.

# Connections

Dial uses pgconn to connect and authenticate, and then takes the socket over from
it. Run sends a request and passes each message of the answer to a Sink as it
arrives, up to the ReadyForQuery that ends the answer. Run passes messages as bytes
and decodes none of them. A Sink decodes those that it needs.

# Answers in doubt

The protocol doesn't say to which request an answer belongs. A backend server that sends an
answer twice would thus shift all later ones. Run sends nothing once a message has arrived that
no request asked for, Query checks that the answer fits its statement, and Confirm detects a
surplus answer among those that were read. A connection in doubt is broken.

# Usage

	connection, err := ctbackend.Dial(ctx, target)
	result, err := connection.Run(ctx, payload, sink)
	if result.Transaction == ctbackend.TransactionIdle {
		...
	}
*/
package ctbackend
