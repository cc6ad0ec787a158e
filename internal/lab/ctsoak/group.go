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
	// replicationInterval is the time between two deliveries of the log to a replica.
	replicationInterval = 10 * time.Millisecond
	// promotionDelay is how long a promotion takes to be in force.
	promotionDelay = 300 * time.Millisecond
	// stepDownDelay is how long a primary goes on after it can reach its successor.
	stepDownDelay = time.Second
)

// entryID names a place in a log: who led, and the number.
type entryID struct {
	term   ctposition.Term
	number int
}

// record is one commit in a log.
type record struct {
	entryID
	commit ctquery.ID
	tx     *Transaction
	writes []ctquery.ID
}

// Group is a database group: members with a log each, of which one leads.
type Group struct {
	name    ctid.Group
	slots   int
	checker *Checker

	mutex   sync.Mutex
	members []*member
	// changed is closed when a log or a role has changed.
	changed chan struct{}
	// latestPrimary is who was promoted last, and term since when.
	latestPrimary *member
	term          ctposition.Term
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
	term, pausedBelow         ctposition.Term
	log                       []record
	// receivedAt are when the entries of the log were received.
	receivedAt []time.Time
	applied    int
	// successorReachableSince is since when a primary can reach its successor.
	successorReachableSince time.Time
	queued                  int
	sessions                map[*memberSession]struct{}
	memberFaults
}

// memberFaults are the faults of a member.
type memberFaults struct {
	// applyLag is how long after its receipt a replica applies an entry.
	applyLag time.Duration
	// statementDuration is how long a statement takes.
	statementDuration time.Duration
	// isolated stops the exchange of the log with other members.
	isolated bool
	// answersToDrop is how many answers go missing.
	answersToDrop int
	// failuresPerTen is how many statements of ten fail after they ran.
	failuresPerTen int
}

// The usual speed of a member.
const (
	defaultApplyLag          = 15 * time.Millisecond
	defaultStatementDuration = 3 * time.Millisecond
	// maxQueued is how many statements may wait for a slot.
	maxQueued = 20
	// handshakeDuration is how long a new connection takes.
	handshakeDuration = 8 * time.Millisecond
)

// NewGroup returns a group whose first member leads.
func NewGroup(name ctid.Group, members []ctid.Member, slots int, checker *Checker) *Group {
	g := &Group{name: name, slots: slots, checker: checker, changed: make(chan struct{}), term: 1}
	for _, m := range members {
		g.members = append(g.members, &member{
			group: g, name: m, slots: make(chan struct{}, slots), running: true, term: 1,
			sessions:     make(map[*memberSession]struct{}),
			memberFaults: memberFaults{applyLag: defaultApplyLag, statementDuration: defaultStatementDuration},
		})
	}
	g.latestPrimary = g.members[0]
	g.latestPrimary.primary = true
	return g
}

// notifyChange wakes what waits for a change. The caller holds the mutex.
func (g *Group) notifyChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// newestLog returns the log of the group, which its lead holds.
func (g *Group) newestLog() []record {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.latestPrimary.log
}

// Contains reports whether the newest log holds an entry.
func (g *Group) Contains(e entryID) bool {
	return containsEntry(g.newestLog(), e)
}

// SetFaults sets the faults of a member.
func (g *Group) SetFaults(m *member, set func(f *memberFaults)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	set(&m.memberFaults)
	g.notifyChange()
}

// Crash ends a member; its connections are reset and its log stays.
func (g *Group) Crash(m *member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.running = false
	for s := range m.sessions {
		s.disconnect()
	}
	g.notifyChange()
}

// Restart starts a member that crashed, as a replica where another one was promoted.
func (g *Group) Restart(m *member, name ctid.Member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.name = name
	m.running, m.leaving, m.pausedBelow = true, false, 0
	m.memberFaults = memberFaults{applyLag: defaultApplyLag, statementDuration: defaultStatementDuration}
	m.primary = g.latestPrimary == m
	m.applied = len(m.log)
	m.sessions = make(map[*memberSession]struct{})
	m.slots = make(chan struct{}, g.slots)
	m.queued = 0
	g.notifyChange()
}

// StartLeaving makes a member report that it leaves.
func (g *Group) StartLeaving(m *member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.leaving = true
}

// status returns how a member sees itself, and whether it runs.
func (g *Group) status(m *member) (ctid.Member, ctserver.Role, ctserver.State, bool) {
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
		g.checker.recordViolation(InvariantSinglePromoter, "%s: %s orders a promotion in epoch %d after %s in epoch %d",
			g.name, holder, epoch, g.holder, g.epoch)
	}
	g.epoch, g.holder = max(epoch, g.epoch), holder
	for _, m := range g.members {
		if m.name != name || !m.running {
			continue
		}
		if m != g.latestPrimary || !m.primary {
			time.AfterFunc(promotionDelay, func() { g.completePromotion(m) })
		}
		return ctsuccession.PromotionAccepted
	}
	return ctsuccession.PromotionRejected
}

// completePromotion puts a promotion in force.
func (g *Group) completePromotion(m *member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !m.running || (m == g.latestPrimary && m.primary) {
		return
	}
	g.term++
	g.latestPrimary = m
	m.primary, m.term, m.pausedBelow = true, g.term, 0
	m.applied = len(m.log)
	g.checker.checkPromoted(g.name, m.name, m.log)
	g.notifyChange()
}

// replicate delivers the log until done is closed.
func (g *Group) replicate(done <-chan struct{}) {
	ticker := time.NewTicker(replicationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			g.deliverLogs(now)
		}
	}
}

// deliverLogs gives every replica what it lacks, and ends the lead of primaries that
// have reached their successor.
func (g *Group) deliverLogs(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	changed := false
	for _, m := range g.members {
		m.applyReceived(now)
		if m == g.latestPrimary || !m.running || m.isolated || !g.latestPrimary.running || g.latestPrimary.isolated {
			m.successorReachableSince = time.Time{}
			continue
		}
		if m.primary {
			if m.successorReachableSince.IsZero() {
				m.successorReachableSince = now
			}
			if now.Sub(m.successorReachableSince) >= stepDownDelay {
				m.primary = false
				changed = true
			}
			continue
		}
		if m.pausedBelow <= g.latestPrimary.term {
			changed = m.receiveLog(g.latestPrimary, now) || changed
		}
	}
	// A primary that was replaced and does not know of it goes on with replicas that
	// have not heard of its successor.
	changed = g.deliverFromReplaced(now) || changed
	if changed {
		g.notifyChange()
	}
}

// deliverFromReplaced delivers the logs of primaries that were replaced.
func (g *Group) deliverFromReplaced(now time.Time) bool {
	changed := false
	for _, p := range g.members {
		if p == g.latestPrimary || !p.primary || !p.running || p.isolated {
			continue
		}
		for _, m := range g.members {
			if !m.primary && m.running && !m.isolated && m.pausedBelow <= p.term && m.term <= p.term {
				changed = m.receiveLog(p, now) || changed
			}
		}
	}
	return changed
}

// receiveLog takes what a primary's log has beyond the member's, and drops what the
// primary does not have. It reports whether anything changed.
func (m *member) receiveLog(from *member, now time.Time) bool {
	m.term = from.term
	common := min(len(m.log), len(from.log))
	for common > 0 && m.log[common-1].entryID != from.log[common-1].entryID {
		common--
	}
	if common == len(m.log) && common == len(from.log) {
		return false
	}
	// The capacity is cut so that records that were shown stay as they were.
	m.log = append(m.log[:common:common], from.log[common:]...)
	m.receivedAt = m.receivedAt[:min(common, len(m.receivedAt))]
	for len(m.receivedAt) < len(m.log) {
		m.receivedAt = append(m.receivedAt, now)
	}
	m.applied = min(m.applied, common)
	return true
}

// applyReceived shows the entries that were received long enough ago.
func (m *member) applyReceived(now time.Time) {
	if m.primary {
		m.applied = len(m.log)
		return
	}
	for m.applied < len(m.log) && !m.receivedAt[m.applied].Add(m.applyLag).After(now) {
		m.applied++
	}
}

// appliedPoint is the member's place: what it shows.
func (m *member) appliedPoint() ctposition.Point {
	return pointOf(m.log, m.applied)
}

func pointOf(log []record, count int) ctposition.Point {
	if count == 0 {
		return ctposition.Point{Term: 1}
	}
	last := log[count-1]
	return ctposition.Point{Term: last.term, Position: ctposition.Position(last.number)}
}

// replicated reports whether a replica holds an entry of a primary's log. The caller
// holds the mutex.
func (g *Group) replicated(p *member, e entryID) bool {
	for _, m := range g.members {
		if m != p && m.running && containsEntry(m.log, e) {
			return true
		}
	}
	return false
}
