/*
Package ctconfirm decides when a write may be acknowledged.

# The rule

A write at a point of a term is confirmed when a majority of the group's
members, the primary among them, has received the point in that term. A
promotion asks a majority of the members and takes the one that holds most, so
it keeps every confirmed write. A member that was asked in a later term confirms
nothing of an earlier one.

# Usage

	board := ctconfirm.Board{Size: 3}
	board.Begin(term)
	confirmed := board.Add(ctconfirm.Write{Key: 3, Position: position, Deadline: deadline})
	keys := board.Confirm("member-2", point)
*/
package ctconfirm
