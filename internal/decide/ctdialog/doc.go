/*
Package ctdialog decides on a caller's session that is made of single statements
and transactions over pooled connections: what is answered at once, what runs on
a member, what a connection lacks of the session's state, and what the caller is
told of a run that failed.

A Dialog has no connections and knows no encoding. Its driver takes a Plan from
Ask, runs it on a connection, and hands what came of it to Conclude.

# Promises

A fault that says that nothing is kept is told only where that is certain: the
statement never reached a member, the member itself said so, or it belongs to a
transaction whose COMMIT was not sent. A write or a COMMIT whose answer is
missing is told as unknown.

# Usage

	switch plan := dialog.Ask(query).(type) {
	case ctdialog.Answer:
		caller.Answer(plan.Answer)
	case ctdialog.Run:
		caller.Answer(dialog.Conclude(plan, result).Answer)
	}
*/
package ctdialog
