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

# Usage

	machine.Begin(now, longest)
	machine.Hear(now, announcement)
	for _, action := range machine.Decide(now, group) {
		...
	}
*/
package ctsuccession
