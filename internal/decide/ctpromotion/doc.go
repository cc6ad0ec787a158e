/*
Package ctpromotion tracks the promotion requests that a control process has sent to the
external service, and tells when no request for a promotion can take effect any more. It
also says which status of a member guards a commit against a promotion that is not settled.

# Late requests

The service promotes the named member whenever it handles a request, and does not reject
requests of former leaders. A request may be handled long after it was sent: a cut link
may hold it, or its sender may freeze between the last check and the transmission. So a
promotion counts as unsettled from before its first request is sent until each of its
requests has an answer. A timeout is no answer. A request whose connection has ended without
one may take effect until ctsuccession.RequestLifetime later. That no request can take effect
any more doesn't say that none has: ctsuccession.Machine settles an ended promotion.

A process knows the answers to its own requests only. It reports the promotions of the
epochs in which it led, also after another process has become the leader.

# Guarded commits

While the promotion of a member is unsettled, a commit may be acknowledged only if that
member holds it. Holds checks a status that the member returned after the commit.

# Usage

	ledger.Lead(epoch)
	if ledger.Begin(key) {
		outcome := send(key)
		ledger.RecordOutcome(now, key, outcome)
	}
	switch ledger.Close(now, key, observedAt).(type) {
	case ctpromotion.Void:
		...
	case ctpromotion.Ended:
		...
	}
*/
package ctpromotion
