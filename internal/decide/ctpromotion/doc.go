/*
Package ctpromotion tracks the promotion requests that a control process has sent to the
external service. It tells when no request for a promotion can take effect any more, and when
the service can receive none of the process any more. It also says which status of a member
guards a commit against a promotion that is not settled.

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

# The requester of a group

The service does not compare epochs either, so it must not receive one of a later epoch
before all requests of an earlier one have ended. The register names for each group the
control process that may have requests on their way, its requester, and the epoch that they
carry. A leader makes itself the requester of a group that has none, in the decision that
records the promotion. While another process is the requester, the leader sends no request:
it offers it to that process (Offers), which sends it under its own epoch, also after a
restart. Requests tracks what the process has sent. Once all of it is answered and
its turn is over, the process sends no more and the leader releases it.

Nobody can tell what becomes of the last request of a process that is gone for good. It
counts as ended ctsuccession.RequestLifetime after the leader started, and after the
process last fetched an offer.

# Guarded commits

While the promotion of a member is unsettled, a commit may be acknowledged only if that
member holds it. Holds checks a status that the member returned after the commit.

# Usage

	ledger.Lead(epoch)
	if ledger.Begin(key) {
		outcome := send(key)
		ledger.RecordOutcome(now, key, outcome)
	}
	if requests.Begin(group, requester) {
		requests.RecordOutcome(now, group, requester, send(key))
	}
	released := requests.Release(now, group, requester)
	offers.Put(now, key, requester)
	for _, offer := range offers.Fetch(now, control, begin) {
		...
	}
	switch ledger.Close(now, key, observedAt).(type) {
	case ctpromotion.Void:
		...
	case ctpromotion.Ended:
		...
	}
*/
package ctpromotion
