/*
Package ctpg is the server side of the PostgreSQL protocol: it accepts the
connections of callers, reads their requests and sends them answers.

# Requests

Accept reads the first messages of a connection. It answers requests for
encryption, returns a cancel request as a CancelError, and checks the start-up
parameters. NextRequest reads the messages of one request, up to a Query or a Sync, and
returns them as one Request with its class.

A caller may use its prepared statements for the whole session, whichever backend
connection runs a transaction. If a request uses a statement that is not prepared
on the current backend connection, NextRequest adds a Parse message for it, and Relay
removes the answer to that message.

# Parameters

Besides the usual start-up parameters user, database, client_encoding and
application_name, a caller may send these: cherviltrestle.token, a session token
that it received from a proxy; cherviltrestle.max_age, the greatest age of the data
that it accepts for reads; and default_transaction_read_only, by which it declares
that it won't write. Accept refuses all others.

# Usage

	caller, err := ctpg.Accept(socket, options)
	err = caller.FinishStartup("")
	request, err := caller.NextRequest()
	caller.BeginAnswer(request)
	err = caller.Relay(payload)
	err = caller.EndAnswer(lastPayload, token)
*/
package ctpg
