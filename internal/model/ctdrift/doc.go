/*
Package ctdrift bounds how much the clocks of two processes differ in rate. No
two clocks are assumed to agree on the time of day; leases, authority and ages
rest on this bound alone, so it stands in one place.

# Usage

	granted := sent.Add(ctdrift.AtLeast(length))
	over := heard.Add(ctdrift.AtMost(length))
*/
package ctdrift
