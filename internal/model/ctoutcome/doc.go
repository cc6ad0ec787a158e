/*
Package ctoutcome states how a caller's request ended.

# The three outcomes

Ran means that the request took effect, with the point that covers it. NotRun
means that it took no effect and never will. Unknown means that it was sent and
that nothing can be learned of it now. NotRun is never used on a guess: each
Reason of NotRun names a place before the first byte went to a backend server,
or an answer of the backend server that says that nothing ran.

# SQLSTATE

State gives the code that the caller sees: 57P03 for requests that were not
run and may be tried again, 08007 for an unknown outcome, as PostgreSQL defines
them.

# Usage

	switch o := outcome.(type) {
	case ctoutcome.Ran:
		...
	case ctoutcome.NotRun:
		...
	case ctoutcome.Unknown:
		...
	}
*/
package ctoutcome
