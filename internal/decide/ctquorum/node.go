package ctquorum

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
)

// The times of elections and heartbeats.
const (
	// ElectionTimeout is how long a process that heard of a leader waits before
	// it tries to be elected, and votes for nobody else.
	ElectionTimeout = 300 * time.Millisecond
	// electionJitter is what is added to that at random, so that processes
	// seldom try at once.
	electionJitter = 200 * time.Millisecond
	// heartbeatInterval is the time between a leader's rounds.
	heartbeatInterval = 60 * time.Millisecond
	// startupVoteInterval is the time between two asks of a process that has just started.
	startupVoteInterval = 50 * time.Millisecond
	// joinInterval is the time between two asks to join.
	joinInterval = 100 * time.Millisecond
)

// The bounds of one message.
const (
	maxAppendEntries = 256
	maxAppendBytes   = 1 << 20
)

// Random gives random numbers.
type Random interface {
	// Int64N returns a number from 0 to n-1.
	Int64N(n int64) int64
}

// role tells what a process is in its epoch.
type role uint8

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// Node decides for one process of control.
type Node struct {
	// MinVoters is how many voters stay at least when silent ones are taken
	// out; 0 where operators take them out.
	MinVoters int

	self   Peer
	state  PersistentState
	random Random
	// seeds are whom to ask to join, by name only.
	seeds []Peer

	role              role
	leader            Peer
	commitIndex       Index
	appliedIndex      Index
	lastLeaderContact time.Time
	electionAt        time.Time
	nextJoinAt        time.Time
	votes             map[Peer]bool
	// justStarted reports that no leader was heard of since the start, freshAt when the
	// others are asked next whether they are, and freshVotes who said so.
	justStarted       bool
	nextStartupVoteAt time.Time
	startupVotes      map[Peer]bool
	followers         map[Peer]*follower
	round             Round
	nextHeartbeatAt   time.Time
	proposals         map[Index]ProposalID
	leaderReady       bool

	effects []Effect
}

// follower is what a leader knows of another process.
type follower struct {
	nextIndex  Index
	matchIndex Index
	// sentAt holds when recent rounds were sent, and answered the time of the
	// latest one that was answered.
	sentAt             map[Round]time.Time
	lastAnsweredSentAt time.Time
	lastSeen           time.Time
}

// New returns the node of a process with what its disk holds. The contacts are
// the other processes that it may ask to join.
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

// Step takes one event and returns the effects to perform, in order.
func (n *Node) Step(now time.Time, event Event) []Effect {
	n.effects = nil
	switch e := event.(type) {
	case Tick:
		n.tick(now)
	case Received:
		n.receive(now, e.From, e.Message)
	case Propose:
		n.propose(now, e)
	case RemoveVoter:
		n.removeVoter(now, e)
	case SnapshotCreated:
		n.compact(e)
	}
	return n.effects
}

// SetSeeds replaces the processes that this one asks to let it join.
func (n *Node) SetSeeds(seeds []Peer) {
	n.seeds = seeds
}

// Leader returns the leader that the process knows of; the zero value for none.
func (n *Node) Leader() Peer {
	return n.leader
}

// Voters returns the voters that the log names last.
func (n *Node) Voters() []Peer {
	return slices.Clone(n.state.voters())
}

// AppliedIndex returns the index of the last entry that was applied.
func (n *Node) AppliedIndex() Index {
	return n.appliedIndex
}

// LogLength returns how many entries follow the snapshot.
func (n *Node) LogLength() int {
	return len(n.state.Entries)
}

// LogBytes returns how many bytes of commands follow the snapshot.
func (n *Node) LogBytes() int {
	bytes := 0
	for i := range n.state.Entries {
		bytes += len(n.state.Entries[i].Data)
	}
	return bytes
}

// AuthorityExpiry returns until when the process has authority as the leader, on
// its own clock; the zero time where it has none.
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
		if f, ok := n.followers[v]; ok && !f.lastAnsweredSentAt.IsZero() {
			sendTimes = append(sendTimes, f.lastAnsweredSentAt)
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

// persist writes the epoch, the vote and the entries from an index on.
func (n *Node) persist(firstIndex Index) {
	p := Persist{Epoch: n.state.Epoch, VotedFor: n.state.VotedFor, FirstIndex: firstIndex}
	if firstIndex > 0 {
		last, _ := n.state.last()
		p.Entries = n.state.entriesFrom(firstIndex, int(last-firstIndex)+1)
	}
	n.emit(p)
}

// resetElectionTimer puts the next try to be elected off.
func (n *Node) resetElectionTimer(now time.Time) {
	n.electionAt = now.Add(ElectionTimeout + time.Duration(n.random.Int64N(int64(electionJitter))))
}

// tick does what is due.
func (n *Node) tick(now time.Time) {
	switch {
	case n.role == roleLeader:
		n.lastLeaderContact = now
		if !now.Before(n.nextHeartbeatAt) {
			n.broadcastLog(now)
		}
		n.stepDownWithoutMajority(now)
	case !n.isVoter():
		n.requestJoin(now)
	case !now.Before(n.electionAt):
		n.campaign(now, true)
	case n.justStarted && n.role == roleFollower && !now.Before(n.nextStartupVoteAt):
		n.sendStartupVoteRequests(now)
	}
}

// stepDownWithoutMajority makes a leader that hears of no majority a follower,
// so that its callers look for another one.
func (n *Node) stepDownWithoutMajority(now time.Time) {
	expiresAt := n.AuthorityExpiry()
	if !n.leaderReady || expiresAt.IsZero() || now.Before(expiresAt.Add(2*ElectionTimeout)) {
		return
	}
	n.becomeFollower(now, n.state.Epoch, Peer{})
}

// requestJoin asks all contacts to let this process become a voter.
func (n *Node) requestJoin(now time.Time) {
	if now.Before(n.nextJoinAt) {
		return
	}
	n.nextJoinAt = now.Add(joinInterval)
	for _, seed := range n.seeds {
		n.send(seed, JoinRequest{Epoch: n.state.Epoch})
	}
}

// becomeFollower makes the process a follower in an epoch.
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
