/*
Package ctregister is the replicated state machine of control. It holds the
accepted configurations, the primaries and terms of the groups, the audit log of
decisions on groups, the members that a new leader starts with, and the logs that
members have lost.

# Commands

The register changes only through commands, which the replicated log puts into
one order. Apply gives the same result on every control process. An operator may
send a Configure command again after losing the answer. If it is applied a second
time, the result is a Duplicate with the change as it was accepted first.

# Usage

	var register ctregister.Register
	result := register.Apply(ctregister.Configure{Change: change, At: now})
*/
package ctregister
