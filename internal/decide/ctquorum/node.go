package ctquorum

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Timeouts and intervals of elections, heartbeats and joins.
const (
	// ElectionTimeout is how long after a leader's last message a process starts
	// no election and grants no vote.
	ElectionTimeout = 300 * time.Millisecond
	// electionJitter is the upper bound of the random time added to
	// ElectionTimeout, so that processes seldom start elections together.
	electionJitter = 200 * time.Millisecond
	// heartbeatInterval is the longest time between two rounds of a leader.
	heartbeatInterval = 60 * time.Millisecond
	// startupVoteInterval is the time between two startup votes of a process.
	startupVoteInterval = 50 * time.Millisecond
)

// Limits of one AppendRequest. A single larger entry is still sent.
const (
	maxAppendEntries = 256
	maxAppendBytes   = 1 << 20
)

// maxUnansweredRounds is how many rounds a leader remembers for a follower that does not answer.
const maxUnansweredRounds = 1024

// Random generates random numbers.
type Random interface {
	// Int64N returns a number from 0 to n-1.
	Int64N(n int64) int64
}

// role is the part that a process has in its epoch.
type role uint8

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// Node is the protocol's state machine for one process of control. It is not safe
// for concurrent use.
type Node struct {
	// VoterCount is how many voters the leader keeps. Processes that join beyond it
	// are standbys. If it is 0, every process that joins becomes a voter, and only
	// operators remove voters for being unreachable.
	VoterCount int

	self Peer
	// state is the persistent state. Every change of it is emitted as a Persist.
	state  PersistentState
	random Random
	// seeds are the processes to which requests to join are sent. They have a name
	// but no incarnation.
	seeds []Peer

	role role
	// leader is the zero value while no leader is known.
	leader       Peer
	commitIndex  Index
	appliedIndex Index
	// lastLeaderContact is the time of the last message from a leader, at first the
	// time of the start. On the leader itself it is the time of its last tick.
	lastLeaderContact time.Time
	// electionAt is when the process starts a pre-vote.
	electionAt time.Time
	// learned holds the names of processes that a joining process was told of, the latest
	// first. They have no incarnation.
	learned []Peer
	// joins holds, by name, the processes that a joining process asks.
	joins map[ctid.Control]JoinAnswer
	// votes holds the votes received in the current election or pre-vote.
	votes map[Peer]bool
	// justStarted reports that no message from a leader was received since the
	// start.
	justStarted       bool
	nextStartupVoteAt time.Time
	// startupVotes holds the voters' answers to the startup vote.
	startupVotes map[Peer]bool
	// followers holds the other voters and the learners. Only a leader has it.
	followers       map[Peer]*follower
	round           Round
	nextHeartbeatAt time.Time
	// votersChangedAt is when this leader last appended a change of the voters.
	votersChangedAt time.Time
	// proposals holds this leader's proposals that are not committed yet.
	proposals map[Index]ProposalID
	// leaderReady reports that this leader has committed an entry of its own
	// epoch, and with it all entries of earlier leaders.
	leaderReady bool

	// effects collects the effects of the current step.
	effects []Effect
}

// follower is the leader's record of another voter or of a learner.
type follower struct {
	// nextIndex is the first index to send.
	nextIndex Index
	// matchIndex is the last index that the follower is known to have on disk.
	matchIndex Index
	// sent holds the rounds that are not answered yet.
	sent map[Round]sentRound
	// lastAnswered is the latest answered round.
	lastAnswered sentRound
	// lastSeen is when the last reply or request to join was received, or when the
	// follower was added.
	lastSeen time.Time
	// lastProgress is when an answer last showed new entries, or all those that were committed
	// when the round was sent. At first it is when the follower was added.
	lastProgress time.Time
}

// sentRound is the leader's record of a round that it sent to a follower.
type sentRound struct {
	at time.Time
	// commitIndex is the leader's commit index at that time.
	commitIndex Index
	// prevIndex is the index before the first entry that was sent.
	prevIndex Index
}

// New returns the node of a process that starts with the state read from its disk.
// The seeds are the other processes to which it may send requests to join.
func New(now time.Time, self Peer, state PersistentState, seeds []Peer, random Random) *Node {
	n := &Node{self: self, state: state, seeds: seeds, random: random}
	n.commitIndex = state.Snapshot.Index
	n.appliedIndex = state.Snapshot.Index
	n.lastLeaderContact = now
	n.justStarted = true
	n.startupVotes = make(map[Peer]bool)
	n.resetElectionTimer(now)
	return n
}

// Step handles one event and returns the effects to perform, in order.
func (n *Node) Step(now time.Time, event Event) []Effect {
	n.effects = nil
	switch e := event.(type) {
	case Tick:
		n.tick(now)
	case Received:
		n.receive(now, e.From, e.Message)
	case Misaddressed:
		n.handleMisaddressed(now, e.From)
	case Propose:
		n.propose(now, e)
	case RemoveVoter:
		n.removeVoter(now, e)
	case SnapshotCreated:
		n.compact(e)
	}
	return n.effects
}

// SetSeeds replaces the processes to which this one sends requests to join.
func (n *Node) SetSeeds(seeds []Peer) {
	n.seeds = seeds
}

// Leader returns the known leader, or the zero value if none is known.
func (n *Node) Leader() Peer {
	return n.leader
}

// Voters returns the voters in force: those of the last entry that changes them,
// committed or not.
func (n *Node) Voters() []Peer {
	return slices.Clone(n.state.voters())
}

// AppliedIndex returns the index of the last entry emitted in an Apply effect, or of
// the last restored snapshot.
func (n *Node) AppliedIndex() Index {
	return n.appliedIndex
}

// LogLength returns the number of entries after the snapshot.
func (n *Node) LogLength() int {
	return len(n.state.Entries)
}

// LogBytes returns the size in bytes of the commands after the snapshot.
func (n *Node) LogBytes() int {
	bytes := 0
	for i := range n.state.Entries {
		bytes += len(n.state.Entries[i].Data)
	}
	return bytes
}

// AuthorityExpiry returns when the leader's authority expires, on its own clock. It
// returns the zero time if the process has no authority. The authority lasts one
// election timeout from the send time of the latest rounds that a majority has
// answered, less the allowed clock drift. A leader that is the only voter needs no
// answers: its authority lasts one election timeout from its last tick.
func (n *Node) AuthorityExpiry() time.Time {
	if n.role != roleLeader || !n.leaderReady {
		return time.Time{}
	}
	voters := n.state.voters()
	var sendTimes []time.Time
	for _, v := range voters {
		if v == n.self {
			continue
		}
		if f, ok := n.followers[v]; ok && !f.lastAnswered.at.IsZero() {
			sendTimes = append(sendTimes, f.lastAnswered.at)
		}
	}
	needed := majority(voters) - 1
	if needed == 0 {
		return n.lastLeaderContact.Add(ElectionTimeout)
	}
	if len(sendTimes) < needed {
		return time.Time{}
	}
	slices.SortFunc(sendTimes, func(a, b time.Time) int { return b.Compare(a) })
	return sendTimes[needed-1].Add(ctdrift.LowerBound(ElectionTimeout))
}

func majority(voters []Peer) int {
	return len(voters)/2 + 1
}

// isVoter reports whether the process's own log names it as a voter.
func (n *Node) isVoter() bool {
	return slices.Contains(n.state.voters(), n.self)
}

func (n *Node) emit(effect Effect) {
	n.effects = append(n.effects, effect)
}

func (n *Node) send(to Peer, message Message) {
	n.emit(Send{To: to, Message: message})
}

// persist emits a Persist with the epoch, the vote and the entries from firstIndex
// on; with no entries if firstIndex is 0.
func (n *Node) persist(firstIndex Index) {
	p := Persist{Epoch: n.state.Epoch, VotedFor: n.state.VotedFor, FirstIndex: firstIndex}
	if firstIndex > 0 {
		last, _ := n.state.last()
		p.Entries = n.state.entriesFrom(firstIndex, int(last-firstIndex)+1)
	}
	n.emit(p)
}

// resetElectionTimer postpones the next election by a random timeout.
func (n *Node) resetElectionTimer(now time.Time) {
	n.electionAt = now.Add(ElectionTimeout + time.Duration(n.random.Int64N(int64(electionJitter))))
}

// tick performs what is due at the time now.
func (n *Node) tick(now time.Time) {
	switch {
	case n.role == roleLeader:
		n.lastLeaderContact = now
		if !now.Before(n.nextHeartbeatAt) {
			n.broadcastLog(now)
		}
		n.stepDownWithoutMajority(now)
	case !n.isVoter():
	case !now.Before(n.electionAt):
		n.campaign(now, true)
	case n.justStarted && n.role == roleFollower && !now.Before(n.nextStartupVoteAt):
		n.sendStartupVoteRequests(now)
	}
	n.requestJoin(now)
}

// stepDownWithoutMajority makes a leader a follower once its authority expired two
// election timeouts ago. Its callers then look for another leader.
func (n *Node) stepDownWithoutMajority(now time.Time) {
	expiresAt := n.AuthorityExpiry()
	if !n.leaderReady || expiresAt.IsZero() || now.Before(expiresAt.Add(2*ElectionTimeout)) {
		return
	}
	n.becomeFollower(now, n.state.Epoch, Peer{})
}

// becomeFollower makes the process a follower in an epoch. A leader's pending
// proposals are rejected.
func (n *Node) becomeFollower(now time.Time, epoch Epoch, leader Peer) {
	if epoch > n.state.Epoch {
		n.state.Epoch = epoch
		n.state.VotedFor = Peer{}
		n.persist(0)
	}
	if n.role == roleLeader {
		for _, id := range n.proposals {
			n.emit(Rejected{ID: id, Appended: true})
		}
		n.proposals = nil
		n.followers = nil
	}
	changed := n.role == roleLeader || n.leader != leader
	n.role = roleFollower
	n.leaderReady = false
	n.leader = leader
	n.resetElectionTimer(now)
	if changed {
		n.emit(LeaderChanged{Leader: leader})
	}
}
