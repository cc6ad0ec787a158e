/*
Package ctdialog is the state machine of a caller's session over pooled
connections (transaction pooling). It decides which queries the proxy answers
itself, which ones run on a member, which session state a connection still lacks,
and what the caller receives when a run fails. Package ctgateway runs it. The
sessions of package ctentry use package ctsession instead.

A Dialog owns no connections and does no encoding. Its driver passes each query
to HandleQuery. If the returned Plan is a Run, the driver runs it on a connection
and passes the result to HandleResult.

# Guarantees

A fault that says that nothing is kept, such as FaultAborted, is returned only if
that is certain:

  - the statement never reached a member, or only read, or
  - the member reported that the statement did not run, or
  - the statement belongs to a transaction whose COMMIT was not sent.

If the answer to a single write is missing, or to the COMMIT of a transaction
that wrote, the fault is FaultOutcomeUnknown.

# Usage

	switch plan := dialog.HandleQuery(query).(type) {
	case ctdialog.Answer:
		caller.Send(plan.Answer)
	case ctdialog.Run:
		result := runOnMember(plan)
		caller.Send(dialog.HandleResult(plan, result).Answer)
	}
*/
package ctdialog
