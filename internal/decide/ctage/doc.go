/*
Package ctage measures an upper bound of the age of a replica's data, without
comparing the clocks of two hosts.

# How age is measured

The replica's holder queries the primary's holder for the group's position, and
records its own time before it sends the query. All data written before that time
lies at or before the position in the answer. Once the replica has applied that
position, its data is at least as fresh as the recorded time. All times are read
from the clock of the replica's holder. While no answer arrives, or while the
replica makes no progress, the known age grows with the clock. It is therefore
never below the true age.

# Usage

	var meter ctage.Meter
	meter.AddSample(requestedAt, point)
	meter.RecordApplied(applied, history)
	age, known := meter.Age(now)
*/
package ctage
