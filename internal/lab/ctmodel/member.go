package ctmodel

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// entry is an entry of a log: the term of the primary that appended it and its number.
type entry struct {
	term   ctposition.Term
	number int
}

// member is a backend server.
type member struct {
	name        ctid.Member
	incarnation ctid.Incarnation
	running     bool
	// primary is the member's own view of its role.
	primary bool
	// term is that of the primary whose log the member received last. It receives nothing
	// of terms below pausedBelow.
	term, pausedBelow ctposition.Term
	// log holds the entry with number n at index n-1. Its array may be shared, and is never
	// written to.
	log []entry
	// waiting are the commits that no replica has received yet.
	waiting []*commit
	// successorReachedAt is since when a replaced primary has reached its successor.
	successorReachedAt time.Time
	announceAt         time.Time
}

// Timing of members.
const (
	// stepDownDelay is how long a replaced primary remains one after it can reach its
	// successor.
	stepDownDelay    = time.Second
	announceInterval = time.Second
)

func (m *member) party() party {
	return party(m.name)
}

// has reports whether the log has an entry.
func (m *member) has(e entry) bool {
	return hasEntry(m.log, e)
}

func hasEntry(log []entry, e entry) bool {
	return e.number <= len(log) && log[e.number-1] == e
}

func pointOf(e entry) ctposition.Point {
	return ctposition.Point{Term: e.term, Position: ctposition.Position(e.number)}
}

// append appends an entry of the member's own term.
func (m *member) append() entry {
	e := entry{term: m.term, number: len(m.log) + 1}
	m.log = append(slices.Clip(m.log), e)
	return e
}

func (m *member) status() ctquery.Status {
	status := ctquery.Status{
		Role: ctserver.RoleReplica, Term: m.term, Received: ctposition.Point{Term: 1}, PausedBelow: m.pausedBelow,
	}
	if m.primary {
		status.Role = ctserver.RolePrimary
	}
	if len(m.log) > 0 {
		status.Received = pointOf(m.log[len(m.log)-1])
	}
	return status
}

// run executes a command of control.
func (m *member) run(command ctsuccession.Command) ctquery.Status {
	switch c := command.(type) {
	case ctsuccession.Probe:
	case ctsuccession.Pause:
		if !m.primary && c.Fence > m.term {
			m.pausedBelow = c.Fence
		}
	case ctsuccession.Resume:
		m.pausedBelow = 0
	case ctsuccession.StepDown:
		if m.primary && m.term < c.Fence {
			m.primary = false
		}
	}
	return m.status()
}

// memberNamed returns the member of a name.
func (w *world) memberNamed(name ctid.Member) *member {
	i := slices.IndexFunc(w.members, func(m *member) bool { return m.name == name })
	return w.members[i]
}

// replicate delivers logs to replicas, and lets replaced primaries step down.
func (w *world) replicate() {
	for _, p := range w.members {
		if !p.running || !p.primary {
			continue
		}
		for _, m := range w.members {
			accepts := m != p && m.running && !m.primary && m.term <= p.term && m.pausedBelow <= p.term
			if accepts && w.reachable(p.party(), m.party()) && w.chance(0.8) {
				m.receive(p)
			}
		}
		w.stepDownReplaced(p)
	}
	for _, p := range w.members {
		w.confirmCommits(p)
	}
}

// receive makes the log of a replica that of a primary.
func (m *member) receive(p *member) {
	m.term, m.log = p.term, slices.Clip(p.log)
}

func (w *world) stepDownReplaced(p *member) {
	latest := w.group.latest
	switch {
	case p == latest || !latest.running || !w.reachable(p.party(), latest.party()):
		p.successorReachedAt = time.Time{}
	case p.successorReachedAt.IsZero():
		p.successorReachedAt = w.now
	case w.now.Sub(p.successorReachedAt) >= stepDownDelay:
		w.trace("%s steps down by itself", p.name)
		p.primary = false
	}
}

// confirmCommits answers the commits that a replica has received.
func (w *world) confirmCommits(p *member) {
	if !p.running {
		return
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(c *commit) bool {
		if !p.has(c.entry) {
			return true
		}
		received := slices.ContainsFunc(w.members, func(m *member) bool { return m != p && m.has(c.entry) })
		if received {
			w.answerCommit(p, c)
		}
		return received
	})
}

// crash stops a member, which keeps its log.
func (w *world) crash(m *member) {
	m.running, m.waiting = false, nil
}

// restart starts a member with its log. It leads only if no other one was promoted.
func (w *world) restart(m *member) {
	if m.running {
		return
	}
	w.trace("%s starts again", m.name)
	m.running, m.pausedBelow = true, 0
	m.incarnation++
	m.primary = m.primary && w.group.latest == m
	m.announceAt = w.now
}

// tickMember announces a member to control, and repeats that at intervals.
func (w *world) tickMember(m *member) {
	if !m.running || w.now.Before(m.announceAt) {
		return
	}
	m.announceAt = w.now.Add(announceInterval)
	if leader, ok := w.routeToLeader(m.party()); ok {
		incarnation := m.incarnation
		announced := w.announcement(m)
		w.onControl(leader, w.latency(), func() {
			if incarnation == m.incarnation {
				w.takeAnnouncement(leader, announced)
			}
		})
	}
}

// promote makes a member the primary of the next term, unless it has ended or leads.
func (w *world) promote(m *member, requested string) {
	if !m.running || (m.primary && w.group.latest == m) {
		return
	}
	w.group.term++
	m.primary, m.term, m.pausedBelow, m.successorReachedAt = true, w.group.term, 0, time.Time{}
	w.group.latest, w.group.promotedLog = m, m.log
	w.report.Promotions++
	decided := w.decided()
	if decided.Candidate != m.name {
		w.report.Unrequested++
	}
	w.trace("EFFECT %s leads term %d with %s; %s", m.name, m.term, m.status().Received, requested)
	w.checkPromoted(m)
}
