package ctcontrol

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Status is the state of the fleet as shown to operators.
type Status struct {
	// Control is the process that answers. Leader is the process that leads, and is empty
	// if none is known.
	Control  ctid.Control    `json:"control"`
	Leader   ctid.Control    `json:"leader,omitempty"`
	Voters   []ctquorum.Peer `json:"voters"`
	Revision ctid.Revision   `json:"revision"`
	// Unconfirmed lists the proxies that have not reported the revision in force.
	Unconfirmed []ctid.Proxy  `json:"unconfirmed"`
	View        *ctview.Delta `json:"view"`
	// Authority reports that the process leads and has authority. What others show of the fleet
	// may be older.
	Authority bool `json:"authority"`
	// Quorum is what the process does in the quorum and what it knows of the others.
	Quorum QuorumStatus `json:"quorum"`
	// Blocked maps each group whose change of primary is wanted but cannot proceed to the
	// reason.
	Blocked map[ctid.Group]string `json:"blocked,omitempty"`
}

// Status returns the state of the fleet as this process knows it. Only the leader's view
// is current. What the replica knows is left empty.
func (c *Control) Status(held *ctlock.Held) Status {
	var status Status
	c.state.With(held, func(l *leaderState) {
		status.Control, status.Leader = c.Name, l.leader.Name
		status.Authority = l.hasAuthority(c.Clock.Now())
		status.Revision = l.register.CurrentConfig().Revision
		status.Unconfirmed = l.roster.ProxiesBehind(status.Revision)
		status.View = l.roster.DeltaSince(0, 0)
		status.Blocked = make(map[ctid.Group]string)
		for name, reason := range l.blocked {
			if reason != "" {
				status.Blocked[name] = string(reason)
			}
		}
	})
	return status
}

// QuorumStatus is what a process does in the quorum, and what it knows of the others, as
// shown to operators.
type QuorumStatus struct {
	// State is leads, follows, joins or knows_no_leader.
	State string `json:"state"`
	// Votes reports that the process is a voter.
	Votes bool `json:"votes"`
	// Lost is how many voters are lost, and StoppingLosses how many more losses stop control.
	// Only a leader has these and the fields up to Learners.
	Lost           int    `json:"lost"`
	StoppingLosses int    `json:"stopping_losses"`
	Margin         string `json:"margin,omitempty"`
	// Voters and Learners are the processes that receive the log.
	Voters   []PeerProgress `json:"voters,omitempty"`
	Learners []PeerProgress `json:"learners,omitempty"`
	// JoiningFor is the time since the last message from a leader, or since the start, of a
	// process that looks for a leader, and Processes whom it asks and what came back.
	JoiningFor ctconfig.Duration `json:"joining_for,omitempty"`
	Processes  []LinkState       `json:"processes,omitempty"`
}

// PeerProgress is what a leader knows of a process that receives the log.
type PeerProgress struct {
	Name        ctid.Control     `json:"name"`
	Incarnation ctid.Incarnation `json:"incarnation"`
	// Silent is the time since its last message, Behind how many entries it lacks, and Stalled
	// the time since it last took some, if committed ones are among them.
	Silent  ctconfig.Duration `json:"silent"`
	Behind  ctquorum.Index    `json:"behind"`
	Stalled ctconfig.Duration `json:"stalled,omitempty"`
	// Lost says why a voter counts as lost. It is empty for the others.
	Lost ctquorum.Loss `json:"lost,omitempty"`
}

// QuorumStatus returns what this process does in the quorum.
func (r *Replica) QuorumStatus(held *ctlock.Held) QuorumStatus {
	now := r.clock.Now()
	var status ctquorum.Status
	r.node.With(held, func(n **ctquorum.Node) { status = (*n).Status(now) })
	switch s := status.(type) {
	case ctquorum.Leading:
		return leaderQuorumStatus(s)
	case ctquorum.Joining:
		return r.joiningQuorumStatus(held, now, s)
	case ctquorum.Following:
		if s.Leader != (ctquorum.Peer{}) {
			return QuorumStatus{State: stateFollows, Votes: s.Votes}
		}
	}
	return QuorumStatus{State: stateNoLeader, Votes: true}
}

func (r *Replica) joiningQuorumStatus(held *ctlock.Held, now time.Time, s ctquorum.Joining) QuorumStatus {
	status := QuorumStatus{
		State: stateJoins, JoiningFor: roundedDuration(now.Sub(s.Since)), Processes: r.links.states(held, now, s.Asked),
	}
	if s.Votes {
		status.State, status.Votes = stateNoLeader, true
	}
	return status
}

func leaderQuorumStatus(s ctquorum.Leading) QuorumStatus {
	margin := s.Margin()
	return QuorumStatus{
		State: stateLeads, Votes: true,
		Lost: margin.Lost, StoppingLosses: margin.StoppingLosses(), Margin: margin.String(),
		Voters: peersProgress(s.Voters), Learners: peersProgress(s.Learners),
	}
}

func peersProgress(peers []ctquorum.PeerStatus) []PeerProgress {
	var progress []PeerProgress
	for _, p := range peers {
		progress = append(progress, PeerProgress{
			Name: p.Peer.Name, Incarnation: p.Peer.Incarnation,
			Silent: roundedDuration(p.Silence), Behind: p.Behind, Stalled: roundedDuration(p.Stalled), Lost: p.Loss,
		})
	}
	return progress
}

// roundedDuration returns a duration in whole milliseconds.
func roundedDuration(d time.Duration) ctconfig.Duration {
	return ctconfig.Duration(d.Round(time.Millisecond))
}
