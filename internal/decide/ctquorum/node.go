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
	// electionSpread is what is added to that at random, so that processes
	// seldom try at once.
	electionSpread = 200 * time.Millisecond
	// heartbeatTime is the time between a leader's rounds.
	heartbeatTime = 60 * time.Millisecond
	// freshTime is the time between two asks of a process that has just started.
	freshTime = 50 * time.Millisecond
	// joinTime is the time between two asks to join.
	joinTime = 100 * time.Millisecond
)

// The bounds of one message.
const (
	maxEntries    = 256
	maxEntryBytes = 1 << 20
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

	self    Peer
	durable PersistentState
	random  Random
	// contacts are whom to ask to join, by name only.
	contacts []Peer

	role    role
	leader  Peer
	commit  Index
	applied Index
	heard   time.Time
	electAt time.Time
	joinAt  time.Time
	votes   map[Peer]bool
	// fresh reports that no leader was heard of since the start, freshAt when the
	// others are asked next whether they are, and freshVotes who said so.
	fresh      bool
	freshAt    time.Time
	freshVotes map[Peer]bool
	followers  map[Peer]*follower
	round      Round
	beatAt     time.Time
	proposals  map[Index]ProposalID
	announced  bool

	effects []Effect
}

// follower is what a leader knows of another process.
type follower struct {
	next  Index
	match Index
	// sent holds when recent rounds were sent, and answered the time of the
	// latest one that was answered.
	sent     map[Round]time.Time
	answered time.Time
	seen     time.Time
}

// New returns the node of a process with what its disk holds. The contacts are
// the other processes that it may ask to join.
func New(now time.Time, self Peer, durable PersistentState, contacts []Peer, random Random) *Node {
	n := &Node{self: self, durable: durable, contacts: contacts, random: random}
	n.commit = durable.Snapshot.Index
	n.applied = durable.Snapshot.Index
	n.heard = now
	n.fresh = true
	n.freshVotes = make(map[Peer]bool)
	n.postpone(now)
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
		n.remove(now, e)
	case SnapshotCreated:
		n.compact(e)
	}
	return n.effects
}

// SetSeeds replaces the processes that this one asks to let it join.
func (n *Node) SetSeeds(contacts []Peer) {
	n.contacts = contacts
}

// Leader returns the leader that the process knows of; the zero value for none.
func (n *Node) Leader() Peer {
	return n.leader
}

// Voters returns the voters that the log names last.
func (n *Node) Voters() []Peer {
	return slices.Clone(n.durable.voters())
}

// AppliedIndex returns the index of the last entry that was applied.
func (n *Node) AppliedIndex() Index {
	return n.applied
}

// LogLength returns how many entries follow the snapshot.
func (n *Node) LogLength() int {
	return len(n.durable.Entries)
}

// LogBytes returns how many bytes of commands follow the snapshot.
func (n *Node) LogBytes() int {
	bytes := 0
	for i := range n.durable.Entries {
		bytes += len(n.durable.Entries[i].Data)
	}
	return bytes
}

// AuthorityExpiry returns until when the process has authority as the leader, on
// its own clock; the zero time where it has none.
func (n *Node) AuthorityExpiry() time.Time {
	if n.role != roleLeader || !n.announced {
		return time.Time{}
	}
	voters := n.durable.voters()
	var answered []time.Time
	for _, v := range voters {
		if v == n.self {
			continue
		}
		if f, ok := n.followers[v]; ok && !f.answered.IsZero() {
			answered = append(answered, f.answered)
		}
	}
	needed := majority(voters) - 1
	if needed == 0 {
		return n.heard.Add(ElectionTimeout)
	}
	if len(answered) < needed {
		return time.Time{}
	}
	slices.SortFunc(answered, func(a, b time.Time) int { return b.Compare(a) })
	return answered[needed-1].Add(ctdrift.LowerBound(ElectionTimeout))
}

func majority(voters []Peer) int {
	return len(voters)/2 + 1
}

// voter reports whether the process's own log names it as a voter.
func (n *Node) voter() bool {
	return slices.Contains(n.durable.voters(), n.self)
}

func (n *Node) emit(effect Effect) {
	n.effects = append(n.effects, effect)
}

func (n *Node) send(to Peer, message Message) {
	n.emit(Send{To: to, Message: message})
}

// persist writes the epoch, the vote and the entries from an index on.
func (n *Node) persist(from Index) {
	p := Persist{Epoch: n.durable.Epoch, VotedFor: n.durable.VotedFor, FirstIndex: from}
	if from > 0 {
		last, _ := n.durable.last()
		p.Entries = n.durable.from(from, int(last-from)+1)
	}
	n.emit(p)
}

// postpone puts the next try to be elected off.
func (n *Node) postpone(now time.Time) {
	n.electAt = now.Add(ElectionTimeout + time.Duration(n.random.Int64N(int64(electionSpread))))
}

// tick does what is due.
func (n *Node) tick(now time.Time) {
	switch {
	case n.role == roleLeader:
		n.heard = now
		if !now.Before(n.beatAt) {
			n.beat(now)
		}
		n.stepDownWithoutMajority(now)
	case !n.voter():
		n.askToJoin(now)
	case !now.Before(n.electAt):
		n.campaign(now, true)
	case n.fresh && n.role == roleFollower && !now.Before(n.freshAt):
		n.askFresh(now)
	}
}

// stepDownWithoutMajority makes a leader that hears of no majority a follower,
// so that its callers look for another one.
func (n *Node) stepDownWithoutMajority(now time.Time) {
	until := n.AuthorityExpiry()
	if !n.announced || until.IsZero() || now.Before(until.Add(2*ElectionTimeout)) {
		return
	}
	n.follow(now, n.durable.Epoch, Peer{})
}

// askToJoin asks all contacts to let this process become a voter.
func (n *Node) askToJoin(now time.Time) {
	if now.Before(n.joinAt) {
		return
	}
	n.joinAt = now.Add(joinTime)
	for _, c := range n.contacts {
		n.send(c, JoinRequest{Epoch: n.durable.Epoch})
	}
}

// follow makes the process a follower in an epoch.
func (n *Node) follow(now time.Time, epoch Epoch, leader Peer) {
	if epoch > n.durable.Epoch {
		n.durable.Epoch = epoch
		n.durable.VotedFor = Peer{}
		n.persist(0)
	}
	if n.role == roleLeader {
		for _, ticket := range n.proposals {
			n.emit(Rejected{ID: ticket, Appended: true})
		}
		n.proposals = nil
		n.followers = nil
	}
	changed := n.role == roleLeader || n.leader != leader
	n.role = roleFollower
	n.announced = false
	n.leader = leader
	n.postpone(now)
	if changed {
		n.emit(LeaderChanged{Leader: leader})
	}
}
