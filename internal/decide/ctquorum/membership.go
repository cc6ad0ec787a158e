package ctquorum

import (
	"cmp"
	"slices"
	"time"
)

// learnerTimeout is how long a learner may send nothing before the leader stops
// sending to it.
const learnerTimeout = 10 * time.Second

// voterTimeout is how long a voter may send nothing before a standby takes its place.
const voterTimeout = 3 * time.Second

// removeVoter appends an entry that removes a voter. It rejects the removal before
// the leader has committed an entry of its own epoch and while another change of the
// voters is pending, because an earlier leader's change may still be replaced. It also
// rejects the removal of the last voter.
func (n *Node) removeVoter(now time.Time, e RemoveVoter) {
	voters := n.state.voters()
	allowed := n.role == roleLeader && n.leaderReady && !n.voterChangePending()
	if !allowed || !slices.Contains(voters, e.Peer) || len(voters) == 1 {
		n.emit(Rejected{ID: e.ID})
		return
	}
	last, _ := n.state.last()
	n.proposals[last+1] = e.ID
	n.append(now, Entry{Voters: withoutPeer(voters, e.Peer)})
}

func withoutPeer(voters []Peer, peer Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(voters), func(v Peer) bool { return v == peer })
}

// voterChangePending reports whether the log has an uncommitted change of the voters.
func (n *Node) voterChangePending() bool {
	for _, e := range n.state.Entries {
		if e.Index > n.commitIndex && len(e.Voters) > 0 {
			return true
		}
	}
	return false
}

// addLearner starts sending the log to a process that asked to join.
func (n *Node) addLearner(now time.Time, from Peer) {
	if n.role != roleLeader || !n.leaderReady {
		return
	}
	if slices.Contains(n.state.voters(), from) {
		// A voter that asks has not heard the leader, so it counts as silent.
		return
	}
	last, _ := n.state.last()
	n.addFollower(now, from, last+1)
	n.followers[from].lastSeen = now
}

// removeUnreachableLearners discards followers that are not voters and have sent
// nothing for learnerTimeout.
func (n *Node) removeUnreachableLearners(now time.Time) {
	voters := n.state.voters()
	for _, peer := range n.sortedFollowers() {
		if !slices.Contains(voters, peer) && now.Sub(n.followers[peer].lastSeen) > learnerTimeout {
			delete(n.followers, peer)
		}
	}
}

// reviseVoters makes at most one change of the voters, and none while another is
// pending: it removes the replaced incarnation of a voter, removes a voter beyond
// VoterCount, or adds a learner that has caught up and is needed.
func (n *Node) reviseVoters(now time.Time) {
	if n.role != roleLeader || !n.leaderReady || n.voterChangePending() {
		return
	}
	voters := n.state.voters()
	for _, v := range voters {
		if old, ok := n.replaced(voters, v); ok {
			n.append(now, Entry{Voters: withoutPeer(voters, old)})
			return
		}
	}
	if n.VoterCount > 0 && len(voters) > n.VoterCount {
		n.append(now, Entry{Voters: withoutPeer(voters, n.surplusVoter(now, voters))})
		return
	}
	if learner, ok := n.neededLearner(now, voters); ok {
		n.append(now, Entry{Voters: append(slices.Clone(voters), learner)})
	}
}

// surplusVoter returns the voter to remove where there are too many: the one that has
// been unreachable for the longest time or, if none has, one that has not answered this
// leader yet, or else the last by name. It never returns this process.
func (n *Node) surplusVoter(now time.Time, voters []Peer) Peer {
	others := withoutPeer(voters, n.self)
	return slices.MaxFunc(others, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(n.silence(now, a), n.silence(now, b)),
			-cmp.Compare(n.answers(a), n.answers(b)),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

// answers returns 1 if a voter has answered this leader, or else 0.
func (n *Node) answers(voter Peer) int {
	if f, ok := n.followers[voter]; ok && !f.lastAnswered.at.IsZero() {
		return 1
	}
	return 0
}

// silence returns for how long a voter has sent nothing, or 0 if that is less than
// voterTimeout.
func (n *Node) silence(now time.Time, voter Peer) time.Duration {
	f, ok := n.followers[voter]
	if !ok || now.Sub(f.lastSeen) <= voterTimeout {
		return 0
	}
	return now.Sub(f.lastSeen)
}

// neededLearner returns a learner that has caught up and is to become a voter: the new
// incarnation of a voter that lost its disk or, if there are too few voters or one of
// them is unreachable, any learner.
func (n *Node) neededLearner(now time.Time, voters []Peer) (Peer, bool) {
	unreachable := slices.ContainsFunc(voters, func(v Peer) bool { return v != n.self && n.silence(now, v) > 0 })
	anyNeeded := n.VoterCount == 0 || len(voters) < n.VoterCount || unreachable
	needed, found := Peer{}, false
	for _, peer := range n.sortedFollowers() {
		if slices.Contains(voters, peer) || n.isReplaced(voters, peer) || !n.caughtUp(now, peer) {
			continue
		}
		if _, ok := n.replaced(voters, peer); ok {
			return peer, true
		}
		if anyNeeded && !found {
			needed, found = peer, true
		}
	}
	return needed, found
}

// caughtUp reports whether a learner is reachable and has all committed entries, or at
// least those that were committed when the leader sent the round that it has just answered.
// Under steady commands, the answers of a distant learner never name the last entry. The round
// must follow the last change of the voters: a voter that was just removed may be gone.
func (n *Node) caughtUp(now time.Time, learner Peer) bool {
	f := n.followers[learner]
	if f.matchIndex == 0 || now.Sub(f.lastSeen) > voterTimeout {
		return false
	}
	recent := now.Sub(f.lastAnswered.at) <= ElectionTimeout && !f.lastAnswered.at.Before(n.votersChangedAt)
	return f.matchIndex >= n.commitIndex || (recent && f.matchIndex >= f.lastAnswered.commitIndex)
}

// replaced returns the voter whose process runs as peer now: another incarnation of its name, which was
// heard from before peer. The numbers decide only between two that were heard from at the same time,
// because a clock that is set back gives a new incarnation the lower one.
func (n *Node) replaced(voters []Peer, peer Peer) (Peer, bool) {
	for _, v := range voters {
		if v.Name != peer.Name || v == peer || v == n.self {
			continue
		}
		order := cmp.Compare(v.Incarnation, peer.Incarnation)
		if peer == n.self || cmp.Or(n.followers[v].lastSeen.Compare(n.followers[peer].lastSeen), order) < 0 {
			return v, true
		}
	}
	return Peer{}, false
}

// isReplaced reports whether the process of a peer runs as another of the given ones now.
func (n *Node) isReplaced(others []Peer, peer Peer) bool {
	return slices.ContainsFunc(others, func(other Peer) bool {
		_, ok := n.replaced([]Peer{peer}, other)
		return ok
	})
}
