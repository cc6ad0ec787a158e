/*
Package ctreply decides whether an answer on a connection to a member belongs to the
query that it is taken for. The protocol numbers neither queries nor answers, and a member
may send an answer twice, the second time late.

# Rules

An answer fits if its kind is one that the statement can have, if the state of the
transaction follows from the one before, if its proof was not received before on the
connection, and if its point is not before an earlier one of the same term. A success with
a new proof can't be a repeat.

A fault has no proof. One that was never received on the connection can't be a repeat; any
other has to be confirmed. So has the success of a begin, a rollback or a status query if
one like it was received before.

# Confirmation

A confirmation is a few statements of the proxy's own behind the one in question. They use
no slot of the member, and leave the session's values and prepared statements as they are.
If the answer was a repeat, the true answer arrives as that of the first confirming
statement, and does not fit. Faults are confirmed when they arrive, or, if a member keeps
nothing of their statements, before the connection is used again. The other answers are
confirmed with statements that are sent together with the one in question.

# Limits

Only the last proofsKept proofs are known: a repeat that comes after more answers than that
is taken for a new one. An answer is confirmed falsely if as many repeats as there are
confirming statements arrive behind it, in a row, after the confirmation was sent and each
like the answer expected next. Outside a transaction, the answers to 8 confirmations in a row
differ; in an open one, all are alike.
An earlier fault that arrives again in place of a lost answer is confirmed, too: the answers
behind it fit.
Faults are not forgotten: beyond faultsKept of them, every fault has to be confirmed.

# Usage

	var conversation ctreply.Conversation
	ahead := conversation.AheadConfirmation(statement)
	... // send the statement and those of ahead
	switch v := conversation.Judge(statement, answer).(type) {
	case ctreply.Fits:
		...
	case ctreply.Unconfirmed:
		... // unless ahead was sent, send conversation.Confirmation()
		... // pass the answers to JudgeConfirmation, then call Confirmed
	case ctreply.InDoubt:
		... // close the connection
	}
*/
package ctreply
