/*
Package ctfailover is the failover state machine for groups whose members
replicate to a majority. It detects the loss or departure of a primary, fences
its term, and elects the member with the most up-to-date log. It runs on the
leader of control, which makes the decisions durable.

# Steps of a change

 1. The primary is lost. Either its holder reports that the process is down and
    surrenders the write lease, or the reports on it time out and the lease
    expires.
 2. The group is fenced: its members reject everything of earlier terms.
 3. When a majority has confirmed the fence, the member of it with the most
    up-to-date log becomes the primary of the new term. A write is acknowledged
    only after a majority has received it, so this log has every acknowledged
    write.

A primary that announces that it is leaving is handed over. It accepts no new
work, and its holder surrenders the lease when the work in progress is done.
The change then continues with step 2. Leaving members are not elected if a
majority of other members answers.

No change is made while fewer members than a majority answer. Decide then
returns BlockedNoMajority.

# Leases

The leader grants a write lease only while no change is in progress, and only to
the holder of the primary of the current term. It records when the last lease
expires at the latest, with an allowance for clock drift. A new leader assumes
that a lease was granted at the moment when it started.

# Usage

	machine := &ctfailover.Machine{Size: 3, LeaseTTL: leaseTTL, ReportTimeout: reportTimeout}
	machine.Begin(now, longestLease)
	machine.ApplyReport(now, report)
	proposal, blocked := machine.Decide(now, group)
	if p, due := proposal.Get(); due {
		...
	}
*/
package ctfailover
