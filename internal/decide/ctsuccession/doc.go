/*
Package ctsuccession decides on changes of a group's primary where a service
outside of the system promotes members and each proxy talks to all members by
itself.

# A change

 1. The primary is found lost, or it announces that it leaves. Control makes the
    fence durable, a term above that of the primary.
 2. Every proxy confirms that it keeps to the fence, or its authority has run
    out: nothing is acknowledged for the primary any more.
 3. The primary is told to step down and the replicas to receive nothing of its
    term. What they answer tells which of them has every acknowledged commit.
 4. Control makes the candidate durable and orders its promotion, until a member
    says that it is the primary of a later term.

A member is promoted only where no acknowledged commit can be missing in its log:
it has all that the primary had when it stepped down, or all that the proxies
acknowledged, or more than every other member, all of which answered.

Runs of proxies end, and nobody can ask them what they acknowledged. Whenever one
has ended or fell silent, the next place in its log that the primary tells covers
all of that run; the word of the proxies suffices only for a member that holds that
place too.

# Orders

The service may take an order late, and a promotion takes a while. One order is sent
at a time. Where a second one may have been taken, nobody is held for the leader
until it has had its time.

# Usage

	proxies := ctsuccession.NewProxies(now)
	machine.Begin(now, proxies)
	proxies.Report(now, report, ctsuccession.Until(now))
	machine.Report(now, group, report)
	machine.Hear(now, announcement)
	for _, action := range machine.Decide(now, group) {
		...
	}
*/
package ctsuccession
