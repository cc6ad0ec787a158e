/*
Package ctposition defines the terms and log positions of database groups, and
the order between them.

# Terms and positions

A term identifies the period in which one member is the primary of its group.
Each promotion starts a higher term. A Position is an offset in the group's log,
in bytes. A Point is a position together with the term that it belongs to.

Points of one term compare by position. Comparing points of different terms
needs the group's History, which records the position at which each term began.
A promotion discards all log entries of earlier terms beyond that position.

# Usage

	history := ctposition.History{{Term: 2, Position: 400}}
	if history.Covers(reached, required) {
		// A member that has reached that point has everything up to required.
	}
*/
package ctposition
