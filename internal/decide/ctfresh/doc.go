/*
Package ctfresh bounds the staleness of reads on replicas. It stores samples of the
end of a group's log at the primary. From these it returns the point that a replica
must have applied for a read to show all commits acknowledged before a given time.

# Samples

The time of a sample is read before the query for it is sent, on the clock of the
process that sends it. Every commit acknowledged before that time lies at or before
the sample's point. The clocks of two hosts are never compared.

# Usage

	samples.Add(requestedAt, point)
	minPoint, ok := samples.PointCovering(now.Add(-staleness))
*/
package ctfresh
