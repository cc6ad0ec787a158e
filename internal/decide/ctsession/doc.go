/*
Package ctsession is the state machine of a caller's session. It decides which
member each request goes to, which requests are retried, and with which outcome
each request ends. Package ctentry runs it. The sessions of package ctgateway use
package ctdialog instead.

# Events and effects

Step handles one event of a session and returns effects, which the caller of
Step performs in order. Events and effects are sealed interfaces. Step reads no
clock, does no input or output and changes no state but the session's and that
of the retry budget and the throttles in its Environment. The same events in
the same environments therefore give the same effects.

# Outcomes

Each request ends with one Finish or Disconnect, which contains the outcome, unless
the caller closes its connection first. The outcome is NotRun only if the request
can't have changed anything: no byte of it was sent, the holder reports that nothing
of it ran, or it changes no data, such as a read on a replica.

A request that was sent and not answered is retried only if no part of the
answer has reached the caller and a second run does no harm. A second run does no
harm on a replica, where the request can't write, for statements that change no
data, such as BEGIN, and for requests with an idempotency key.

# Transactions

All requests of a transaction go to the member that its first request went to.
When the connection to that member is lost, the session ends with an error.
Otherwise the caller would run the remaining statements outside the transaction.

# Usage

	session := ctsession.Session{ID: 7, Group: "fit-registry"}
	effects := session.Step(env, ctsession.RequestReceived{Class: ctstatement.Select})
*/
package ctsession
