package ctsoak

import (
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// The times of a group.
const (
	// replicateTime is the time between two deliveries of the log to a replica.
	replicateTime = 10 * time.Millisecond
	// promoteTime is how long a promotion takes to be in force.
	promoteTime = 300 * time.Millisecond
	// abdicateTime is how long a primary goes on after it can reach its successor.
	abdicateTime = time.Second
)

// entry names a place in a log: who led, and the number.
type entry struct {
	term   ctposition.Term
	number int
}

// record is one commit in a log.
type record struct {
	entry
	commit ctquery.ID
	block  *Transaction
	writes []ctquery.ID
}

// Group is a database group: members with a log each, of which one leads.
type Group struct {
	name  ctid.Group
	slots int
	judge *Checker

	mutex   sync.Mutex
	members []*member
	// changed is closed when a log or a role has changed.
	changed chan struct{}
	// lead is who was promoted last, and term since when.
	lead *member
	term ctposition.Term
	// epoch and holder are those of the newest promotion that was ordered.
	epoch  ctquorum.Epoch
	holder string
}

// member is one member of a group. Its group's mutex guards it.
type member struct {
	group *Group
	name  ctid.Member
	slots chan struct{}

	running, primary, leaving bool
	term, paused              ctposition.Term
	log                       []record
	// arrivals are when the entries of the log were received.
	arrivals []time.Time
	applied  int
	// reached is since when a primary can reach its successor.
	reached  time.Time
	waiting  int
	sessions map[*session]struct{}
	troubles
}

// troubles are the faults of a member.
type troubles struct {
	// lag is how long after its receipt a replica applies an entry.
	lag time.Duration
	// work is how long a statement takes.
	work time.Duration
	// apart stops the exchange of the log with other members.
	apart bool
	// lose is how many answers go missing.
	lose int
	// failing is how many statements of ten fail after they ran.
	failing int
}

// The usual speed of a member.
const (
	usualLag  = 15 * time.Millisecond
	usualWork = 3 * time.Millisecond
	// queueRoom is how many statements may wait for a slot.
	queueRoom = 20
	// handshakeTime is how long a new connection takes.
	handshakeTime = 8 * time.Millisecond
)

// NewGroup returns a group whose first member leads.
func NewGroup(name ctid.Group, members []ctid.Member, slots int, judge *Checker) *Group {
	g := &Group{name: name, slots: slots, judge: judge, changed: make(chan struct{}), term: 1}
	for _, m := range members {
		g.members = append(g.members, &member{
			group: g, name: m, slots: make(chan struct{}, slots), running: true, term: 1,
			sessions: make(map[*session]struct{}),
			troubles: troubles{lag: usualLag, work: usualWork},
		})
	}
	g.lead = g.members[0]
	g.lead.primary = true
	return g
}

// tell wakes what waits for a change. The caller holds the mutex.
func (g *Group) tell() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// newest returns the log of the group, which its lead holds.
func (g *Group) newest() []record {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.lead.log
}

// Contains reports whether the newest log holds an entry.
func (g *Group) Contains(e entry) bool {
	return shows(g.newest(), e)
}

// SetFaults sets the faults of a member.
func (g *Group) SetFaults(m *member, set func(t *troubles)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	set(&m.troubles)
	g.tell()
}

// Crash ends a member; its connections are reset and its log stays.
func (g *Group) Crash(m *member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.running = false
	for s := range m.sessions {
		s.cut()
	}
	g.tell()
}

// Restart starts a member that crashed, as a replica where another one was promoted.
func (g *Group) Restart(m *member, name ctid.Member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.name = name
	m.running, m.leaving, m.paused = true, false, 0
	m.troubles = troubles{lag: usualLag, work: usualWork}
	m.primary = g.lead == m
	m.applied = len(m.log)
	m.sessions = make(map[*session]struct{})
	m.slots = make(chan struct{}, g.slots)
	m.waiting = 0
	g.tell()
}

// StartLeaving makes a member report that it leaves.
func (g *Group) StartLeaving(m *member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.leaving = true
}

// role returns how a member sees itself, and whether it runs.
func (g *Group) role(m *member) (ctid.Member, ctserver.Role, ctserver.State, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	role, state := ctserver.RoleReplica, ctserver.StateReady
	if m.primary {
		role = ctserver.RolePrimary
	}
	if m.leaving {
		state = ctserver.StateLeaving
	}
	return m.name, role, state, m.running
}

// Promote takes an order to promote a member.
func (g *Group) Promote(name ctid.Member, holder string, epoch ctquorum.Epoch) ctsuccession.PromotionOutcome {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if epoch < g.epoch || (epoch == g.epoch && holder != g.holder) {
		g.judge.breach(InvariantSinglePromoter, "%s: %s orders a promotion in epoch %d after %s in epoch %d",
			g.name, holder, epoch, g.holder, g.epoch)
	}
	g.epoch, g.holder = max(epoch, g.epoch), holder
	for _, m := range g.members {
		if m.name != name || !m.running {
			continue
		}
		if m != g.lead || !m.primary {
			time.AfterFunc(promoteTime, func() { g.promoted(m) })
		}
		return ctsuccession.PromotionAccepted
	}
	return ctsuccession.PromotionRejected
}

// promoted puts a promotion in force.
func (g *Group) promoted(m *member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !m.running || (m == g.lead && m.primary) {
		return
	}
	g.term++
	g.lead = m
	m.primary, m.term, m.paused = true, g.term, 0
	m.applied = len(m.log)
	g.judge.promoted(g.name, m.name, m.log)
	g.tell()
}

// replicate delivers the log until done is closed.
func (g *Group) replicate(done <-chan struct{}) {
	ticker := time.NewTicker(replicateTime)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			g.deliver(now)
		}
	}
}

// deliver gives every replica what it lacks, and ends the lead of primaries that
// have reached their successor.
func (g *Group) deliver(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	changed := false
	for _, m := range g.members {
		m.apply(now)
		if m == g.lead || !m.running || m.apart || !g.lead.running || g.lead.apart {
			m.reached = time.Time{}
			continue
		}
		if m.primary {
			if m.reached.IsZero() {
				m.reached = now
			}
			if now.Sub(m.reached) >= abdicateTime {
				m.primary = false
				changed = true
			}
			continue
		}
		if m.paused <= g.lead.term {
			changed = m.receive(g.lead, now) || changed
		}
	}
	// A primary that was replaced and does not know of it goes on with replicas that
	// have not heard of its successor.
	changed = g.deliverOld(now) || changed
	if changed {
		g.tell()
	}
}

// deliverOld delivers the logs of primaries that were replaced.
func (g *Group) deliverOld(now time.Time) bool {
	changed := false
	for _, p := range g.members {
		if p == g.lead || !p.primary || !p.running || p.apart {
			continue
		}
		for _, m := range g.members {
			if !m.primary && m.running && !m.apart && m.paused <= p.term && m.term <= p.term {
				changed = m.receive(p, now) || changed
			}
		}
	}
	return changed
}

// receive takes what a primary's log has beyond the member's, and drops what the
// primary does not have. It reports whether anything changed.
func (m *member) receive(from *member, now time.Time) bool {
	m.term = from.term
	same := min(len(m.log), len(from.log))
	for same > 0 && m.log[same-1].entry != from.log[same-1].entry {
		same--
	}
	if same == len(m.log) && same == len(from.log) {
		return false
	}
	// The capacity is cut so that records that were shown stay as they were.
	m.log = append(m.log[:same:same], from.log[same:]...)
	m.arrivals = m.arrivals[:min(same, len(m.arrivals))]
	for len(m.arrivals) < len(m.log) {
		m.arrivals = append(m.arrivals, now)
	}
	m.applied = min(m.applied, same)
	return true
}

// apply shows the entries that were received long enough ago.
func (m *member) apply(now time.Time) {
	if m.primary {
		m.applied = len(m.log)
		return
	}
	for m.applied < len(m.log) && !m.arrivals[m.applied].Add(m.lag).After(now) {
		m.applied++
	}
}

// point is the member's place: what it shows.
func (m *member) point() ctposition.Point {
	return pointOf(m.log, m.applied)
}

func pointOf(log []record, count int) ctposition.Point {
	if count == 0 {
		return ctposition.Point{Term: 1}
	}
	last := log[count-1]
	return ctposition.Point{Term: last.term, Position: ctposition.Position(last.number)}
}

// confirmed reports whether a replica holds an entry of a primary's log. The caller
// holds the mutex.
func (g *Group) confirmed(p *member, e entry) bool {
	for _, m := range g.members {
		if m != p && m.running && shows(m.log, e) {
			return true
		}
	}
	return false
}
