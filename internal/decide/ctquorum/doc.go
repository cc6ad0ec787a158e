/*
Package ctquorum decides how control's processes agree on one log of commands.

# The log

One process leads in each epoch. It appends commands to its log and sends them to
the others; an entry is committed once a majority of the voters has it on disk,
and entries before it with it. Processes elect another leader when they hear
nothing of one. A process asks first whether it would be elected (a pre-vote),
so that one that was cut off does not disturb the others when it returns.

# Authority

A leader has authority while a majority answered rounds that it sent lately.
Voters that heard of a leader lately vote for nobody else, so no two leaders have
authority at one time. What must not be done by a leader with an old view, such
as granting leases, is done only with authority.

# Members and lost disks

A voter is a name with the incarnation of its disk. A process with an empty disk
has a new incarnation, so it is no voter: it asks to join, catches up, and is
then added as a voter; the earlier incarnation of its name is removed after that.
The voters change by one at a time, and a process votes only while its own log
names it as a voter.

# Usage

	node := ctquorum.New(self, durable)
	for _, effect := range node.Step(now, event) {
		switch e := effect.(type) {
		case ctquorum.Persist:
			...
		}
	}

Effects are performed in their order; a Persist is synced before what follows it.
*/
package ctquorum
