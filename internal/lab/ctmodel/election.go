package ctmodel

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

const (
	// leaderAuthority is how long a leader may act after a majority has answered it.
	leaderAuthority = 300 * time.Millisecond
	// authorityGrace is how much longer it answers proxies.
	authorityGrace = 300 * time.Millisecond
)

// election is the state of control as a whole.
type election struct {
	// leader is the leader of the newest epoch. It may not know that it is not any more.
	leader *control
	epoch  ctview.Epoch
	// electAt is when the next leader is elected, or zero.
	electAt time.Time
	// proposals are those of the leader that are not committed yet.
	proposals []ctregister.Command
}

// hasMajority reports whether a process runs and exchanges messages with another one.
func (w *world) hasMajority(c *control) bool {
	if !c.acts(w.now) {
		return false
	}
	for _, other := range w.controls {
		if other != c && other.acts(w.now) && w.reachable(c.party(), other.party()) {
			return true
		}
	}
	return false
}

// elect extends the leader's authority. Some time after that has expired, it elects another
// process.
func (w *world) elect() {
	e := &w.election
	if e.leader != nil && e.leader.leading && e.leader.epoch == e.epoch && w.hasMajority(e.leader) {
		e.leader.authority, e.electAt = w.now.Add(leaderAuthority), time.Time{}
		return
	}
	if e.electAt.IsZero() {
		e.electAt = w.now.Add(leaderAuthority + w.between(200*time.Millisecond, 1500*time.Millisecond))
	}
	if w.now.Before(e.electAt) {
		return
	}
	for _, i := range w.random.Perm(len(w.controls)) {
		if c := w.controls[i]; w.hasMajority(c) {
			w.becomeLeader(c)
			return
		}
	}
}

// becomeLeader makes a process the leader of the next epoch. Of the last leader's proposals
// that were not committed, those that it has received are.
func (w *world) becomeLeader(c *control) {
	e := &w.election
	for _, command := range e.proposals {
		if w.chance(0.5) {
			break
		}
		w.apply(command)
	}
	e.leader, e.epoch, e.electAt, e.proposals = c, e.epoch+1, time.Time{}, nil
	w.report.Leaders++
	w.trace("%s leads control in epoch %d", c.name, e.epoch)
	c.authority = w.now.Add(leaderAuthority)
	w.startLeading(c, e.epoch)
}

// propose appends a command to the replicated log. It is committed if the process still
// leads and has a majority then.
func (w *world) propose(c *control, command ctregister.Command) {
	epoch := c.epoch
	if w.election.epoch != epoch {
		return
	}
	w.election.proposals = append(w.election.proposals, command)
	w.schedule(w.latency(), func() { w.commitProposals(c, epoch) })
}

// commitProposals commits the proposals of a leader, in their order.
func (w *world) commitProposals(c *control, epoch ctview.Epoch) {
	e := &w.election
	if e.epoch != epoch || !w.hasMajority(c) {
		return
	}
	proposals := e.proposals
	e.proposals = nil
	for _, command := range proposals {
		w.apply(command)
		w.updateLeader(c, command)
	}
}

// routeToLeader returns the process that leads, if a party reaches it over any process of
// control. The process may not have authority any more.
func (w *world) routeToLeader(from party) (*control, bool) {
	leader := w.election.leader
	if leader == nil || !leader.acts(w.now) || !leader.leading {
		return nil, false
	}
	if w.reachable(from, leader.party()) {
		return leader, true
	}
	for _, c := range w.controls {
		if c != leader && c.acts(w.now) && w.reachable(from, c.party()) && w.reachable(c.party(), leader.party()) {
			return leader, true
		}
	}
	return nil, false
}

// connectedToControl reports whether a party reaches a process of control.
func (w *world) connectedToControl(from party) bool {
	for _, c := range w.controls {
		if c.acts(w.now) && w.reachable(from, c.party()) {
			return true
		}
	}
	return false
}
