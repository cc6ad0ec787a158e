package ctmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Timing of lost logs.
const (
	// lossInterval is the longest time between two losses, and emptyAfter how long after one the
	// member starts again at most.
	lossInterval = 8 * time.Second
	emptyAfter   = 4 * time.Second
	// leaveTimeout is how long a member that leaves waits for the confirmation.
	leaveTimeout = 3 * time.Second
)

// losses lets replicas lose their logs. The group bears each loss: the member that was promoted
// last keeps its log, which has all acknowledged commits.
type losses struct {
	random *rand.Rand
}

// scheduleLosses begins the losses of a run, if its plan has any. They have random numbers of
// their own, so that the faults of a seed are the same with and without them.
func (w *world) scheduleLosses() {
	if !w.plan.LostLogs {
		return
	}
	w.losses.random = rand.New(rand.NewPCG(w.plan.Seed, 2))
	w.schedule(settleTime, w.nextLoss)
}

// nextLoss lets a replica lose its log, and schedules the next loss.
func (w *world) nextLoss() {
	if w.timeLeft() <= emptyAfter+leaveTimeout {
		return
	}
	m := w.members[w.losses.random.IntN(len(w.members))]
	switch leaves := w.losses.random.IntN(2) == 0; {
	case !w.mayLoseLog(m):
	case leaves:
		w.leave(m)
	default:
		w.trace("%s loses its log", m.name)
		w.loseLog(m)
	}
	w.schedule(time.Duration(w.losses.random.Int64N(int64(lossInterval))), w.nextLoss)
}

// mayLoseLog reports whether a member runs and is neither the primary nor may become it.
func (w *world) mayLoseLog(m *member) bool {
	group := w.decided()
	promoted := slices.ContainsFunc(group.Unsettled, func(p ctview.Promotion) bool { return p.Member == m.name })
	return m.running && m != w.group.latest && !m.primary && !promoted && group.Candidate != m.name
}

// loseLog ends a member and starts it again without its log after a while.
func (w *world) loseLog(m *member) {
	w.crash(m)
	m.log, m.term, m.primary = nil, 0, false
	w.schedule(time.Duration(w.losses.random.Int64N(int64(emptyAfter))), func() { w.restart(m) })
}

// leave lets a member end as planned: it says so to control, and ends once that is durable, or
// leaveTimeout later. A member without a log takes its name and its address.
func (w *world) leave(m *member) {
	w.trace("%s leaves", m.name)
	incarnation := m.incarnation
	end := func() {
		switch {
		case !m.running || m.incarnation != incarnation:
		case w.mayLoseLog(m):
			w.trace("%s has left", m.name)
			w.loseLog(m)
		default:
			// It may be promoted now, so that the group would not bear the loss.
			w.crash(m)
			w.restart(m)
		}
	}
	w.schedule(leaveTimeout, end)
	leader, ok := w.routeToLeader(m.party())
	if !ok {
		return
	}
	w.onControl(leader, w.latency(), func() {
		if !leader.hasAuthority(w.now) || m.incarnation != incarnation {
			return
		}
		leader.deregister(w.now, m)
		w.saveMembers(leader)
		w.schedule(w.latency(), end)
	})
}

// deregister records that the present run of a member has ended.
func (c *control) deregister(now time.Time, m *member) {
	if c.ended == nil {
		c.ended = make(map[ctid.Member]ctid.Incarnation)
	}
	c.ended[m.name] = m.incarnation
	delete(c.roster, m.name)
	delete(c.heardAt, m.name)
	c.machine.DeregisterMember(now, m.name)
}
