/*
Package ctguard checks, at a member's holder, whether the member's role, lease, log
position and age of data allow it to serve a request now.

# Rules

A primary serves a request only in the term that the request names, and only
while its holder has the write lease of that term. A replica serves a request only
if it has applied what the session has seen, and if its data is known to be no
older than the request accepts. The status of a member counts only for connections
to the incarnation of its process that reported the status.

# Usage

	reason := ctguard.Check(member, request)
	if reason != ctoutcome.ReasonNone {
		refuse(reason)
	}
*/
package ctguard
