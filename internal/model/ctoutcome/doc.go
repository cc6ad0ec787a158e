/*
Package ctoutcome defines how a caller's request can end, for which reason, and
which SQLSTATE code the caller receives.

# The three outcomes

Ran means that the request took effect. It carries the point that covers its
writes. NotRun means that the request took no effect and never will. Unknown
means that the request was sent and that its effect can't be determined now.

NotRun is never a guess. Each Reason of NotRun implies one of two facts: the
request failed before its first byte went to a backend server, or the backend
server answered that nothing ran.

# SQLSTATE

SQLStateOf returns the code that the caller receives. The codes have the meaning
that PostgreSQL defines. For example, 57P03 stands for a request that was not run
and may be retried, and 08007 for an unknown outcome.

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
