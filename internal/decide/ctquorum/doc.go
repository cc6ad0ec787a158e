/*
Package ctquorum implements the consensus protocol by which the processes of
control replicate one log of commands. It is a variant of Raft. The package only
decides: the caller delivers events to a Node and performs the effects that the
Node returns.

# The log

Each epoch has at most one leader. The leader appends commands to its log and
sends them to the other processes. An entry is committed once a majority of the
voters has it on disk, together with all entries before it. A process that
receives nothing from a leader for an election timeout starts an election. It
first sends a pre-vote, which asks whether it would be elected. A process that
was cut off therefore does not disturb the others when it returns.

A process that has just started may have received a leader's message before its
restart, so it normally waits for a full election timeout. Meanwhile it sends a
startup vote, which asks the other voters whether they have just started too. If
all of them have, no leader is left, and an election starts at once.

A follower accepts what precedes its committed index, although a snapshot may have
replaced it: that part of its log agrees with every later leader's. A refusal counts only
for the request that it answers, as many with the same entry before them may be on their
way. A follower that answers without taking entries counts as stalled; see Status.

# Authority

A leader has authority while a majority of the voters has answered its recent
rounds. A voter that has a recent message from a leader votes for no other
process, so no two leaders have authority at the same time. Actions that an
outdated leader must not take, such as granting leases, require authority.

# Voters and lost disks

A voter is identified by a name and the incarnation of its disk. A process with
an empty disk has a new incarnation, so it is not a voter. It asks to join and
receives the log as a learner. Once it has caught up, it is added as a voter, and
then the other incarnation of its name is removed, which was heard from before it. The
higher number need not be the later one, as clocks are set back. Voters are added and removed
one at a time. A process votes only while its own log names it as a voter.

With Node.VoterCount, the leader keeps that many voters, which should be an odd number: of
an even one, neither half of a cut into halves is a majority. Processes that join beyond
it are standbys. They remain learners, and one takes the place of a voter that has been
silent for voterTimeout.

# Finding the leader

A joining process sends a JoinRequest to its seeds, to the voters in its log, and to
the processes that it is told of. The JoinReply of any process names the leader that
it follows and the voters that it knows. The joining process then asks these too, so it
finds a leader that is not a seed. Requests are not forwarded. The other voters also
send messages to the lost incarnation of its name. Their senders are asked as well
(Misaddressed), so the leader is found even if all seeds are gone. What a process is
told only decides whom it asks: it votes and follows by the rules above.

A voter that has heard no leader for leaderSearchDelay does the same. Its own log may be so
old that the voters in it have been replaced since, and then no vote or refusal shows it who
leads. The leader sends it the log as to any learner.

# Usage

	node := ctquorum.New(now, self, state, seeds, random)
	for _, effect := range node.Step(now, event) {
		switch e := effect.(type) {
		case ctquorum.Persist:
			...
		}
	}

The caller performs the effects in order and syncs a Persist to disk before it
performs the next effect.
*/
package ctquorum
