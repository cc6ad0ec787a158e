package ctsoak

import (
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctholderjudge"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstutter"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Timing of replication and of changes of the primary.
const (
	// replicationInterval is the time between two deliveries of the log to the replicas.
	replicationInterval = 10 * time.Millisecond
	// promotionDelay is the time from accepting a promotion to its taking effect.
	promotionDelay = 300 * time.Millisecond
	// stepDownDelay is how long a replaced primary remains primary after it can reach
	// its successor.
	stepDownDelay = time.Second
)

// entryID identifies a log entry: the term of the primary that appended it, and its
// number, which starts at 1.
type entryID struct {
	term   ctposition.Term
	number int
}

// record is a log entry with the commit that it stands for.
type record struct {
	entryID
	// commit is the query that committed, and writes are the queries that wrote. They
	// are the same for a write outside an explicit transaction.
	commit ctquery.ID
	tx     *Transaction
	writes []ctquery.ID
}

// Group simulates a database group in this process. Each member has a log of its own, and
// the latest primary's log is the log of the group. Replaced primaries may still append to
// their own logs until they step down.
type Group struct {
	name ctid.Group
	// slots is how many statements a member runs at once.
	slots   int
	checker *Checker
	// stutter says which answers of members are sent twice. nil means none.
	stutter *ctstutter.Plan

	mutex   sync.Mutex
	members []*member
	// changed is closed and replaced when a log, a role or a fault of a member has changed.
	changed chan struct{}
	// latestPrimary is the member that was promoted last, and term is its term.
	latestPrimary *member
	term          ctposition.Term
}

// member is one member of a group. Its group's mutex guards it.
type member struct {
	group *Group
	name  ctid.Member
	// slots has an element for each occupied slot.
	slots chan struct{}

	// primary is the member's own view of its role.
	running, primary, leaving bool
	// term is that of the primary whose log the member received last, or its own since
	// its promotion. The member receives nothing from primaries of terms before
	// pausedBelow.
	term, pausedBelow ctposition.Term
	log               []record
	// receivedAt has the time of receipt of each log entry.
	receivedAt []time.Time
	// applied is how many log entries reads can see.
	applied int
	// successorReachableSince is when a replaced primary became able to reach its
	// successor, or zero while it can't.
	successorReachableSince time.Time
	// queued is how many statements wait for a slot.
	queued   int
	sessions map[*memberSession]struct{}
	memberFaults
}

// memberFaults are the faults injected into a member, and its speed.
type memberFaults struct {
	// applyLag is the time from the receipt of an entry to its application at a replica.
	applyLag time.Duration
	// statementDuration is how long a statement occupies its slot.
	statementDuration time.Duration
	// isolated stops log replication between the member and the others.
	isolated bool
	// answersToDrop is how many further answers to callers' queries are not sent.
	answersToDrop int
	// failuresPerTen is how many statements in ten run but report a failure. It applies
	// to reads and to writes in transactions.
	failuresPerTen int
}

// Speed and queue of a member without faults.
const (
	defaultApplyLag          = 15 * time.Millisecond
	defaultStatementDuration = 3 * time.Millisecond
	// maxQueued is how many statements may wait for a slot.
	maxQueued = 20
	// handshakeDuration is how long the startup of a connection occupies a slot.
	handshakeDuration = 8 * time.Millisecond
)

// NewGroup returns a group whose first member is the primary of term 1. Each member runs
// as many statements at once as it has slots.
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

// notifyChange wakes all goroutines that wait for a change. The caller holds the mutex.
func (g *Group) notifyChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// newestLog returns the log of the latest primary. The caller must not change it.
func (g *Group) newestLog() []record {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.latestPrimary.log
}

// Contains reports whether the latest primary's log contains an entry.
func (g *Group) Contains(e entryID) bool {
	return containsEntry(g.newestLog(), e)
}

// SetFaults calls set on the faults of a member while it holds the group's mutex.
func (g *Group) SetFaults(m *member, set func(f *memberFaults)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	set(&m.memberFaults)
	g.notifyChange()
}

// Crash stops a member and resets its connections. The member keeps its log.
func (g *Group) Crash(m *member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.running = false
	for s := range m.sessions {
		s.disconnect()
	}
	g.notifyChange()
}

// Restart starts a crashed member under a name, with its log and without faults. It is a
// replica if another member was promoted meanwhile.
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

// StartLeaving makes a member report the state "leaving".
func (g *Group) StartLeaving(m *member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.leaving = true
}

// status returns a member's name, its own view of its role, its state and whether it runs.
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

// Promote handles a promotion request. It accepts the request if the member runs, and
// makes it the primary after promotionDelay. It doesn't compare epochs, but the checker does.
func (g *Group) Promote(name ctid.Member, holder string, epoch ctquorum.Epoch) ctsuccession.PromotionOutcome {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.checker.recordRequest(ctholderjudge.Request{
		Group: g.name, Member: name, Holder: holder, Epoch: epoch, At: time.Now(),
	})
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

// completePromotion makes a member the primary of a new term, unless it has crashed or is
// the latest primary already.
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

// replicate delivers the logs each replicationInterval until done is closed.
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

// deliverLogs sends the replicas the log entries that they lack. It also makes a replaced
// primary step down when it has been able to reach its successor for stepDownDelay.
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
	// A primary that doesn't know of its replacement still replicates to members that
	// don't know of the new term either.
	changed = g.deliverFromReplaced(now) || changed
	if changed {
		g.notifyChange()
	}
}

// deliverFromReplaced delivers the logs of replaced primaries to replicas that have
// received nothing from a later term. It reports whether a log changed. The caller holds
// the mutex.
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

// receiveLog makes the member's log equal to a primary's log: it removes entries that the
// primary lacks and appends those that the member lacks. It reports whether the log
// changed. The caller holds the mutex.
func (m *member) receiveLog(from *member, now time.Time) bool {
	m.term = from.term
	common := min(len(m.log), len(from.log))
	for common > 0 && m.log[common-1].entryID != from.log[common-1].entryID {
		common--
	}
	if common == len(m.log) && common == len(from.log) {
		return false
	}
	// Limiting the capacity makes append copy the log. The checker has slices of the
	// old one, which must not change.
	m.log = append(m.log[:common:common], from.log[common:]...)
	m.receivedAt = m.receivedAt[:min(common, len(m.receivedAt))]
	for len(m.receivedAt) < len(m.log) {
		m.receivedAt = append(m.receivedAt, now)
	}
	m.applied = min(m.applied, common)
	return true
}

// applyReceived applies the entries that were received at least applyLag ago. A primary
// applies its whole log. The caller holds the mutex.
func (m *member) applyReceived(now time.Time) {
	if m.primary {
		m.applied = len(m.log)
		return
	}
	for m.applied < len(m.log) && !m.receivedAt[m.applied].Add(m.applyLag).After(now) {
		m.applied++
	}
}

// appliedPoint returns the point up to which the member has applied its log. The caller
// holds the mutex.
func (m *member) appliedPoint() ctposition.Point {
	return pointOf(m.log, m.applied)
}

// pointOf returns the point after the first count entries of a log. An empty log is at
// position 0 of term 1.
func pointOf(log []record, count int) ctposition.Point {
	if count == 0 {
		return ctposition.Point{Term: 1}
	}
	last := log[count-1]
	return ctposition.Point{Term: last.term, Position: ctposition.Position(last.number)}
}

// replicated reports whether a running member other than the primary p has an entry. The
// caller holds the mutex.
func (g *Group) replicated(p *member, e entryID) bool {
	for _, m := range g.members {
		if m != p && m.running && containsEntry(m.log, e) {
			return true
		}
	}
	return false
}
