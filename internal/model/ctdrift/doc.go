/*
Package ctdrift bounds the difference in rate between the clocks of two processes.
Clocks are not assumed to agree on the time of day. Leases, authority and data
ages depend on this bound only, so it is defined in one place.

# Usage

The owner of a lease counts from its request and assumes the shorter time. The
process that grants the lease assumes the longer one:

	validUntil := requested.Add(ctdrift.LowerBound(ttl))
	expiresAt := granted.Add(ctdrift.UpperBound(ttl))
*/
package ctdrift
