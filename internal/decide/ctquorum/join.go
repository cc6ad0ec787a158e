package ctquorum

import (
	"cmp"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// joinInterval is the time between two requests to join to the same process.
const joinInterval = 100 * time.Millisecond

// leaderSearchDelay is how long a voter hears no leader before it looks for one like a joining
// process. Its log may be so old that none of the voters in it can tell it that it was replaced.
const leaderSearchDelay = time.Second

// maxNamesPerReply is how many names a joining process learns from one reply.
const maxNamesPerReply = 8

// maxLearnedNames is how many names of processes a joining process keeps that it was told
// of. It is more than twice the most voters, so that names from a process that was cut off
// leave room for those in force.
const maxLearnedNames = 16

// JoinOutcome says what came of a request to join.
type JoinOutcome string

// The outcomes.
const (
	// JoinAccepted means that the answering process leads and sends its log.
	JoinAccepted JoinOutcome = "accepted"
	// JoinNotLeading means that another process leads, or none does.
	JoinNotLeading JoinOutcome = "not_leading"
	// JoinNotReady means that the answering process leads but has not committed an entry
	// of its epoch yet.
	JoinNotReady JoinOutcome = "not_ready"
)

// Check returns an error of kind cterror.Invalid if the outcome is unknown.
func (o JoinOutcome) Check() error {
	switch o {
	case JoinAccepted, JoinNotLeading, JoinNotReady:
		return nil
	}
	return cterror.Newf(cterror.Invalid, "check that all control processes have one version",
		"outcome %q of a request to join is unknown", o)
}

// JoinAnswer records the requests to join that were sent to one process, and its last
// answer.
type JoinAnswer struct {
	// From is the process that was asked. Its incarnation is 0 before its first answer.
	From Peer
	// AskedAt is when the last request was sent.
	AskedAt time.Time
	// At is when the last answer was received. It and the fields below have their zero
	// values before the first answer.
	At      time.Time
	Outcome JoinOutcome
	// Leader is the leader that the process followed, or the zero value for none.
	Leader Peer
}

// JoinAnswers returns, by name, the processes that this one asks to let it join. It
// returns none if this process leads or follows a leader.
func (n *Node) JoinAnswers() []JoinAnswer {
	answers := make([]JoinAnswer, 0, len(n.joins))
	for _, a := range n.joins {
		answers = append(answers, a)
	}
	slices.SortFunc(answers, func(a, b JoinAnswer) int { return cmp.Compare(a.From.Name, b.From.Name) })
	return answers
}

// joining reports whether the process looks for a leader that lets it join.
func (n *Node) joining(now time.Time) bool {
	switch {
	case n.role == roleLeader:
		return false
	case n.isVoter():
		return !now.Before(n.lastLeaderContact.Add(leaderSearchDelay))
	}
	return n.recentLeader(now) == Peer{}
}

// recentLeader returns the leader, or the zero value if none is known or it has been
// silent for an election timeout.
func (n *Node) recentLeader(now time.Time) Peer {
	if !n.hasRecentLeader(now) {
		return Peer{}
	}
	return n.leader
}

// requestJoin asks the learned processes, the seeds and the voters in the log to let this
// process join. All seeds may be gone, and none of them may lead.
func (n *Node) requestJoin(now time.Time) {
	if !n.joining(now) {
		return
	}
	given := slices.Concat(n.seeds, n.state.voters())
	joins, learnedAsked := n.recentJoins(now, given)
	for _, peer := range slices.Concat(n.learned, given) {
		if _, ok := joins[peer.Name]; ok || peer.Name == n.self.Name {
			continue
		}
		if !containsName(given, peer.Name) {
			if learnedAsked == maxLearnedNames {
				continue
			}
			learnedAsked++
		}
		answer := n.joins[peer.Name]
		answer.From.Name, answer.AskedAt = peer.Name, now
		joins[peer.Name] = answer
		n.send(Peer{Name: peer.Name}, JoinRequest{Epoch: n.state.Epoch, WantsReply: true})
	}
	n.joins = joins
}

// recentJoins returns the processes that were asked within joinInterval, and how many of them are
// not among the given ones. They include names that were learned and then replaced by newer ones.
func (n *Node) recentJoins(now time.Time, given []Peer) (map[ctid.Control]JoinAnswer, int) {
	recent, learned := make(map[ctid.Control]JoinAnswer), 0
	for name, answer := range n.joins {
		if !now.Before(answer.AskedAt.Add(joinInterval)) {
			continue
		}
		recent[name] = answer
		if !containsName(given, name) {
			learned++
		}
	}
	return recent, learned
}

func containsName(peers []Peer, name ctid.Control) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name })
}

// learn adds processes to those that are asked. The oldest beyond maxLearnedNames are
// dropped.
func (n *Node) learn(peers ...Peer) {
	learned := make([]Peer, 0, maxLearnedNames)
	for _, peer := range slices.Concat(peers, n.learned) {
		name := Peer{Name: peer.Name}
		if name.Name == "" || name.Name == n.self.Name || slices.Contains(learned, name) {
			continue
		}
		if len(learned) == maxLearnedNames {
			break
		}
		learned = append(learned, name)
	}
	n.learned = learned
}

// endJoin discards what only a joining process needs. The learned names are kept until
// the log names voters, because the leader may be lost before it has sent them.
func (n *Node) endJoin() {
	n.joins = nil
	if len(n.learned) > 0 && len(n.state.voters()) > 0 {
		n.learned = nil
	}
}

// handleJoinRequest lets the sender join if this process is a leader that is ready, and
// tells it what came of its request and whom else to ask.
func (n *Node) handleJoinRequest(now time.Time, from Peer, m JoinRequest) {
	reply := JoinReply{
		Epoch: n.state.Epoch, Outcome: n.joinOutcome(), Leader: n.recentLeader(now), Voters: n.Voters(),
	}
	n.addLearner(now, from)
	if m.WantsReply {
		n.send(from, reply)
	}
	n.recordNewIncarnation(now, from)
}

// joinOutcome returns what comes of a request to join.
func (n *Node) joinOutcome() JoinOutcome {
	switch {
	case n.role != roleLeader:
		return JoinNotLeading
	case !n.leaderReady:
		return JoinNotReady
	}
	return JoinAccepted
}

// handleJoinReply records the answer to a request to join, and learns whom to ask next.
func (n *Node) handleJoinReply(now time.Time, from Peer, m JoinReply) {
	asked, ok := n.joins[from.Name]
	if !ok || !n.joining(now) {
		return
	}
	n.joins[from.Name] = JoinAnswer{From: from, AskedAt: asked.AskedAt, At: now, Outcome: m.Outcome, Leader: m.Leader}
	names := append([]Peer{m.Leader}, m.Voters...)
	n.learn(names[:min(len(names), maxNamesPerReply)]...)
}

// handleMisaddressed learns the sender of a message to the lost disk of this process.
func (n *Node) handleMisaddressed(now time.Time, from Peer) {
	if n.joining(now) {
		n.learn(from)
	}
}
