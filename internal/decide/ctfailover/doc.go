/*
Package ctfailover decides on the changes of a group's primary. It runs on the
leader of control.

# Steps of a change

A change begins when the primary is gone: its holder says that the process is
down and gives the lease up, or nothing is heard of it and the lease has ended.
The group is then fenced: its members are told to take nothing of earlier terms.
When a majority has confirmed the fence, the one that holds most becomes the
primary of the new term. A write is acknowledged only after a majority has
received it, so that member holds every acknowledged write.

A primary that announces that it leaves is handed over: it takes no new work,
its holder gives the lease up once the work in hand has ended, and the change
goes on as above. Members that leave are passed over where a majority of others
answers.

No change is made while fewer members than a majority answer; Decide tells so.

# Leases

The leader grants a write lease only while the group is not being changed and
the member that asks is the primary of the term. It remembers until when the
last lease may be in use, with an allowance for clocks of other rates, and a new
leader waits as if it had granted one when it began.

# Usage

	machine := &ctfailover.Machine{Size: 3, LeaseTime: leaseTime, SilenceTime: silenceTime}
	machine.Begin(now, longestLease)
	machine.Report(now, held)
	proposal, blocked := machine.Decide(now, group)
	if p, due := proposal.Get(); due {
		...
	}
*/
package ctfailover
