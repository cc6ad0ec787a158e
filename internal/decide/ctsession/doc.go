/*
Package ctsession decides what becomes of a caller's session: where each request
goes, what is tried again, and how each request ends.

# Events and effects

Step takes one event of a session and returns the effects that the caller of
Step performs in their order. Events and effects are sealed interfaces. Step
reads no clock, does no input or output and keeps no state but the session's,
so the same events give the same effects.

# Outcomes

Each request ends with one Finish or Hangup, which carries the outcome. A
request is called NotRun only while no byte of it was sent, or where the holder
says that nothing of it ran. A request that was sent and not answered is tried
again only if it ran on a replica, where it can't write, and if nothing of the
answer has reached the caller.

# Transactions

A transaction stays with the member that its first request went to. When its
connection is lost, the session ends with an error: a caller that went on would
run the rest of its statements outside the transaction.

# Usage

	session := ctsession.Session{ID: 7, Group: "fit-registry"}
	effects := session.Step(world, ctsession.Asked{Class: ctstatement.Select})
*/
package ctsession
