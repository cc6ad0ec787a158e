/*
Package ctmembers simulates a database group in memory, to test a gateway without a
network. The group has a primary and replicas with limited slots, queues and
connections. Replicas apply the log late, and answers can be dropped or sent twice. The group
replaces the members of the platform on which the system is used. Queries and
answers pass as Go values, without the platform's encoding of messages. The group
records violations: behaviour that no member should ever see, such as a query that
runs with the settings of another session, and successes that no member made for the
query of their caller.

# Usage

	group := ctmembers.New(ctmembers.Options{Name: "g", Members: 3, Slots: 2})
	pools := ctpools.New(group, self, nil, clock, logger)
	...
	violations := group.Violations()
*/
package ctmembers
