/*
Package ctmodel simulates a database group, its proxies, control and the external service
that promotes members, in virtual time and in one goroutine. The decisions are those of the
product: ctsuccession, ctpromotion, ctregister and the groups of ctview. Everything that
sends messages is replaced, so that a run takes milliseconds and depends on its seed alone.

# Parties

Three members replicate to each other, and a commit needs one replica. Three processes of
control elect leaders. A leader that is cut off or frozen stops without notice; what it had
checked before, it sends when it goes on. The service handles a promotion request at once,
late, twice or not at all, also after its sender has closed the connection or has ended.
Proxies commit as long as their authority and the group's fence allow.

# Limits

A request is handled within maxRequestAge of the check that allowed it. Messages other than
promotion requests are delivered soon or not at all. All clocks have the same rate.

# Judge

A run violates an invariant if a member is promoted without a commit that was acknowledged
before, if a commit is acknowledged that the latest promoted member lacks or that was made
after a later promotion, or if commits don't go on after the last fault has ended.

# Usage

	report := ctmodel.Run(ctmodel.NewPlan(seed))
	for _, violation := range report.Violations {
		...
	}
*/
package ctmodel
