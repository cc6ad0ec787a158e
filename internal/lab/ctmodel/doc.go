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
A leader sends its requests through the group's requester. What these two report to each
other may be lost, or arrive late, also after its sender has ended.
Proxies commit as long as their authority and the group's fence allow. With Plan.LostLogs,
replicas start again without their logs, or leave and are replaced at their address.

# Limits

A request is handled within maxRequestAge of the check that allowed it. Messages that concern
no promotion request are delivered soon or not at all. Links are cut in both directions. All
clocks have the same rate.

# Judge

The judge knows what members, callers and the service have seen. It asks these rules of the
service's users, each of every event that it may concern:

  - ONE at the service, when it handles a request, whatever it answers: no two holders have
    the same epoch (RuleHolder), no two take turns within a lease unless one of them was
    disturbed shortly before (RuleTurns), and none sends a lower epoch than the service has
    seen (RuleOrder). Nothing excuses the first and the last.
  - ONE at the members: no commit made at a replaced primary is acknowledged (RuleReplaced).
  - LOST: a promoted log has all commits that were acknowledged before (RuleLost), and no
    commit is acknowledged that the log promoted last lacks (RuleLate).
  - STALE, for reads at the primary: each runs on a log with all commits that were acknowledged
    before it was sent (RuleStale).
  - RECOVER, in a stricter form: commits go on through each proxy after the last fault has
    ended (RuleLive). In some runs the requester is cut off from the service for good then,
    and the primary crashes once more.

A run goes on after a violation and reports the first one of each rule.

The others can't occur here. STALE at a replica, MIXED and PINNED concern what replicas return,
results and sessions, and there are none. TWICE, UNASKED and REFUSED: a proxy sends each commit once at most,
and one that it doesn't send has no outcome. ROUTE, DRAIN and CONFIG: the configuration
doesn't change, and the only planned work are replicas that leave. LOST of a configuration: the
replicated log of control is one value that loses nothing.

# Usage

	report := ctmodel.Run(ctmodel.NewPlan(seed))
	for _, violation := range report.Violations {
		...
	}
*/
package ctmodel
