package ctcontrol

import (
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// The values of the label state of control_state, which are 1 where they hold.
const (
	stateLeads     = "leads"
	stateFollows   = "follows"
	stateJoins     = "joins"
	stateNoLeader  = "knows_no_leader"
	stateVotes     = "votes"
	voterReachable = "reachable"
)

// setMetrics sets the metrics of the quorum to a status.
func (w *quorumWatch) setMetrics(status ctquorum.Status) {
	states := map[string]bool{stateLeads: false, stateFollows: false, stateJoins: false, stateNoLeader: false}
	var leading ctquorum.Leading
	votes := false
	switch s := status.(type) {
	case ctquorum.Leading:
		leading, votes, states[stateLeads] = s, true, true
	case ctquorum.Following:
		votes = s.Votes
		states[stateFollows] = s.Leader != (ctquorum.Peer{})
		states[stateNoLeader] = !states[stateFollows]
	case ctquorum.Joining:
		votes, states[stateJoins], states[stateNoLeader] = s.Votes, !s.Votes, s.Votes
	}
	states[stateVotes] = votes
	for state, holds := range states {
		value := 0.0
		if holds {
			value = 1
		}
		w.metrics.QuorumState.WithLabelValues(state).Set(value)
	}
	w.setLeaderMetrics(leading)
}

// setLeaderMetrics sets the metrics of what a leader knows of the others. They are 0 or missing
// on processes that don't lead.
func (w *quorumWatch) setLeaderMetrics(s ctquorum.Leading) {
	voters := map[string]int{
		voterReachable: 0, string(ctquorum.LossSilent): 0, string(ctquorum.LossReplaced): 0,
		string(ctquorum.LossStalled): 0,
	}
	for _, v := range s.Voters {
		state := voterReachable
		if v.Loss != ctquorum.NotLost {
			state = string(v.Loss)
		}
		voters[state]++
	}
	for state, count := range voters {
		w.metrics.QuorumVoters.WithLabelValues(state).Set(float64(count))
	}
	w.metrics.QuorumLearners.Set(float64(len(s.Learners)))
	w.setLags(slices.Concat(s.Voters, s.Learners))
}

// setLags sets the metric of how many entries each process lacks. Of a process with several
// incarnations the latest counts.
func (w *quorumWatch) setLags(peers []ctquorum.PeerStatus) {
	latest := make(map[ctid.Control]ctquorum.PeerStatus)
	for _, p := range peers {
		if latest[p.Peer.Name].Peer.Incarnation <= p.Peer.Incarnation {
			latest[p.Peer.Name] = p
		}
	}
	for name := range w.lags {
		if _, ok := latest[name]; !ok {
			w.metrics.QuorumLag.DeleteLabelValues(string(name))
		}
	}
	w.lags = make(map[ctid.Control]bool, len(latest))
	for name, p := range latest {
		w.lags[name] = true
		w.metrics.QuorumLag.WithLabelValues(string(name)).Set(float64(p.Behind))
	}
}
