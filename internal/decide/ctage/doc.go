/*
Package ctage measures how old a replica's data may be, without any agreement
between clocks.

# How age is measured

The replica's holder asks the primary's holder for the group's position and
notes its own time before it asked. Whatever was written before that time lies
at or before the position in the answer. Once the replica has applied that
position, its data are at least as fresh as the noted time. All times are of
the holder's one clock. While no answer comes, or the replica does not move,
the known age grows with the clock, so that it is never below the true one.

# Usage

	var meter ctage.Meter
	meter.Mark(askedAt, point)
	meter.Applied(applied, history)
	age, known := meter.Age(now)
*/
package ctage
