/*
Package ctpg speaks the PostgreSQL protocol to callers.

# Requests

Accept performs the start of a connection: it answers requests for encryption,
tells a cancel request from a session, and checks the start-up parameters. Next
reads the messages up to the end of one request, a Query or a Sync, and returns
them as one Request with its class. Prepared statements outlive a transaction
towards the caller, whatever backend connection serves it: Next adds the
statements that a request uses and that its way has not seen.

# Parameters

A caller may state cherviltrestle.token, the session token that a proxy gave it;
cherviltrestle.max_age, the age that it accepts for reads; and
default_transaction_read_only, by which it declares that it won't write.

# Usage

	caller, err := ctpg.Accept(socket, options)
	request, err := caller.Next()
	err = caller.Relay(answer)
*/
package ctpg
