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
other has to be confirmed. So has the success of a status query or of a rollback that looks
like an earlier one. The confirmation is a few statements of the proxy's own. They use no
slot of the member, and leave the session's state as it is. They are sent after the answer
has arrived. If the answer was a repeat, then the true answer arrives as that of the first
confirming statement, and does not fit.

# Limits

Only the last proofsKept proofs are known: a repeat that comes after more answers than that
is taken for a new one. A repeated fault is accepted if as many more repeats follow it as
there are confirming statements, each like the answer expected next. Faults are not
forgotten: beyond faultsKept of them, every fault has to be confirmed.

# Usage

	var conversation ctreply.Conversation
	switch v := conversation.Judge(statement, answer).(type) {
	case ctreply.Fits:
		...
	case ctreply.Unconfirmed:
		... // send conversation.Confirmation() and pass the answers to JudgeConfirmation
	case ctreply.InDoubt:
		... // close the connection
	}
*/
package ctreply
