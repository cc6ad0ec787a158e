/*
Package ctconfirm decides when a committed write may be acknowledged to the caller:
when enough replicas have received it that a failover can't lose it.

# Majority rule

A write at a point of a term is confirmed when a majority of the group's members,
the primary included, has received the point in that term. A promotion queries a
majority of the members and promotes the one that has received most of the log, so
the new primary has every confirmed write. A member that was queried for a later
term confirms no write of an earlier one.

# Usage

	tracker := ctconfirm.Tracker{GroupSize: 3}
	tracker.BeginTerm(term)
	confirmed := tracker.Add(ctconfirm.Write{Key: 3, Position: position, Deadline: deadline})
	keys := tracker.RecordReceived("member-2", point)
*/
package ctconfirm
