package ctquorum

import (
	"fmt"
	"slices"
	"time"
)

// Status is what a process does in the quorum: Leading, Following or Joining.
type Status interface {
	isStatus()
}

// Leading is the status of a leader.
type Leading struct {
	// Ready reports that the leader has committed an entry of its own epoch. Before that it
	// adds no learners.
	Ready bool
	// Voters include the leader itself.
	Voters []PeerStatus
	// Learners receive the log and don't vote.
	Learners []PeerStatus
}

// Following is the status of a voter that does not lead, and of a learner that hears a
// leader.
type Following struct {
	// Leader is the zero value while a voter knows no leader.
	Leader Peer
	// Votes reports that the process is a voter.
	Votes bool
}

// Joining is the status of a process that looks for a leader: one that doesn't vote and hears
// none, or a voter that has heard none for leaderSearchDelay.
type Joining struct {
	// Votes reports that the process's own log names it as a voter. The log may be old.
	Votes bool
	// Since is when the last message from a leader came, or the start of the process.
	Since time.Time
	// HeardLeader reports that a message from a leader has come since the start.
	HeardLeader bool
	// Asked lists the processes to which requests to join are sent, and what they answered.
	Asked []JoinAnswer
}

func (Leading) isStatus()   {}
func (Following) isStatus() {}
func (Joining) isStatus()   {}

// Loss says why a voter counts as lost.
type Loss string

// The losses of voters.
const (
	NotLost Loss = ""
	// LossSilent means that the voter has been silent for longer than voterTimeout.
	LossSilent Loss = "silent"
	// LossReplaced means that a later incarnation of the voter's name has joined.
	LossReplaced Loss = "replaced"
	// LossStalled means that the voter answers, but has taken no entry that it lacks for longer
	// than voterTimeout. Commands don't become durable on it.
	LossStalled Loss = "stalled"
)

// PeerStatus is what a leader knows of a process.
type PeerStatus struct {
	Peer Peer
	// Silence is the time since the last reply or request to join.
	Silence time.Duration
	// Behind is how many entries of the leader's log the process is not known to have.
	Behind Index
	// Stalled is the time since it last took entries or had all committed ones, if it lacks some.
	Stalled time.Duration
	// Loss is NotLost for learners.
	Loss Loss
}

// Status returns what the process does in the quorum at the time now.
func (n *Node) Status(now time.Time) Status {
	switch {
	case n.role == roleLeader:
		return n.leadingStatus(now)
	case n.joining(now):
		return Joining{Votes: n.isVoter(), Since: n.lastLeaderContact, HeardLeader: !n.justStarted, Asked: n.JoinAnswers()}
	}
	return Following{Leader: n.leader, Votes: n.isVoter()}
}

func (n *Node) leadingStatus(now time.Time) Leading {
	status := Leading{Ready: n.leaderReady}
	voters := n.state.voters()
	for _, v := range voters {
		voter := n.peerStatus(now, v)
		switch {
		case n.isReplaced(voters, v) || n.isReplaced(n.sortedFollowers(), v):
			voter.Loss = LossReplaced
		case voter.Silence > voterTimeout:
			voter.Loss = LossSilent
		case voter.Stalled > voterTimeout:
			voter.Loss = LossStalled
		}
		status.Voters = append(status.Voters, voter)
	}
	for _, peer := range n.sortedFollowers() {
		if !slices.Contains(voters, peer) {
			status.Learners = append(status.Learners, n.peerStatus(now, peer))
		}
	}
	return status
}

func (n *Node) peerStatus(now time.Time, peer Peer) PeerStatus {
	f, ok := n.followers[peer]
	if !ok {
		return PeerStatus{Peer: peer}
	}
	last, _ := n.state.last()
	status := PeerStatus{Peer: peer, Silence: now.Sub(f.lastSeen), Behind: last - min(last, f.matchIndex)}
	if f.matchIndex < n.commitIndex {
		status.Stalled = now.Sub(f.lastProgress)
	}
	return status
}

// Margin is how far a leader's voters are from the loss of their majority.
type Margin struct {
	// Voters is the number of voters, and Lost how many of them are lost.
	Voters, Lost int
}

// Margin returns how far the voters are from the loss of their majority.
func (l Leading) Margin() Margin {
	m := Margin{Voters: len(l.Voters)}
	for _, v := range l.Voters {
		if v.Loss != NotLost {
			m.Lost++
		}
	}
	return m
}

// StoppingLosses is how many more losses stop control; 0 if no majority is left.
func (m Margin) StoppingLosses() int {
	return max(0, m.Voters-m.Lost-m.Voters/2)
}

// AtRisk reports that voters are lost, so that fewer more losses are borne than with all of them.
func (m Margin) AtRisk() bool {
	return m.Lost > 0
}

// String describes the margin to operators.
func (m Margin) String() string {
	lost := fmt.Sprintf("%d of %d voters lost", m.Lost, m.Voters)
	switch more := m.StoppingLosses(); more {
	case 0:
		return lost + ", no majority is left"
	case 1:
		return lost + ", one more loss stops control"
	default:
		return fmt.Sprintf("%s, %d more losses stop control", lost, more)
	}
}
