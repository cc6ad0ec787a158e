/*
Package ctmembers is a database group in memory, with which a gateway is tested
without a network: a primary and replicas with slots, queues, a log that replicas
apply late, and faults. It stands in for the members of the users' platform apart
from their encoding, and notes what callers must never see.

# Usage

	group := ctmembers.New(ctmembers.Options{Name: "g", Members: 3, Slots: 2})
	pools := ctpools.New(group, self, nil, clock, logger)
	...
	group.Faults()
*/
package ctmembers
