/*
Package ctposition holds the terms and log positions that database groups
expose, and the order between them.

# Terms and positions

A term numbers the reigns of a group's primaries. A position counts the bytes
of the group's log. A Point is a position in the history of a term; points of
different terms are compared only through a History, which records where each
term began.

# Usage

	history := ctposition.History{{Term: 2, Start: 400}}
	if history.Covers(replica, token) {
		// The replica holds all that the token stands for.
	}
*/
package ctposition
