/*
Package ctguard decides, at a member's holder, whether the member may serve a
request now.

# Rules

A primary serves a request only in the term that the request names, while its
holder has the write lease of that term. A replica serves a request only if it
holds what the session has seen, and if its data are known to be no older than
the request accepts. What was sampled of a member counts only for connections
to the same run of its process.

# Usage

	reason := ctguard.Check(member, ask)
	if reason != ctoutcome.ReasonNone {
		...
	}
*/
package ctguard
