package ctheldlink

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstutter"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Timing of replication and of changes of the primary.
const (
	// replicationInterval is the time between two deliveries of the log to the replicas.
	replicationInterval = 5 * time.Millisecond
	// applyLag is the time from the receipt of an entry to its application at a replica.
	applyLag = 20 * time.Millisecond
	// stepDownDelay is how long a replaced primary remains primary after it can reach its
	// successor.
	stepDownDelay = time.Second
	// rollbackDuration is how long a replica is busy after it has discarded entries.
	rollbackDuration = 300 * time.Millisecond
)

const (
	// groupName is the name of the group.
	groupName ctid.Group = "group-0"
	// memberCount is how many members the group has.
	memberCount = 3
	// firstTerm is the term before the first promotion.
	firstTerm ctposition.Term = 3
	// syncReplicas is how many replicas must have received a commit before it is answered.
	syncReplicas = 1
)

// entry is a commit in a log.
type entry struct {
	term ctposition.Term
	id   ctquery.ID
	at   time.Time
	// writes are the writes that it commits.
	writes []ctquery.ID
}

// Group simulates a database group in this process.
type Group struct {
	network *Network
	judge   *Judge
	logger  zerolog.Logger
	// stutter says which answers of members are sent twice. nil means none.
	stutter *ctstutter.Plan
	// Members is not changed after newGroup.
	Members []*Member

	// mutex guards the fields below and those of all members.
	mutex sync.Mutex
	// changed is closed and replaced when a log or a role has changed.
	changed chan struct{}
	term    ctposition.Term
	// latest is the member that was promoted last.
	latest *Member
	// promoted has the promotions in the order of their terms.
	promoted []promotion
}

// Member is one member of a Group.
type Member struct {
	Host  Host
	Name  ctid.Member
	group *Group

	// The group's mutex guards all fields below. primary is the member's own view of its
	// role.
	running, primary bool
	// term is that of the primary whose log the member received last. It receives nothing
	// from primaries of terms before pausedBelow.
	term, pausedBelow ctposition.Term
	log               []entry
	receivedAt        []time.Time
	// applied is how many entries are visible. Positions in answers are those of the last one.
	applied int
	// receiveDelay is how much later than at the primary an entry arrives.
	receiveDelay time.Duration
	// busyUntil is the end of a rollback. While busy is set, the member returns no status
	// either.
	busyUntil time.Time
	busy      bool
	// successorSince is when a replaced primary became able to reach its successor; zero
	// while it can't.
	successorSince time.Time
	incarnation    ctid.Incarnation
	sockets        map[net.Conn]struct{}
}

// newGroup returns a group whose first member is the primary.
func newGroup(network *Network, judge *Judge, logger zerolog.Logger) *Group {
	g := &Group{network: network, judge: judge, logger: logger, changed: make(chan struct{}), term: firstTerm}
	for i := range memberCount {
		g.Members = append(g.Members, &Member{
			Host: Host(fmt.Sprintf("member-%d", i)), Name: ctid.Member(fmt.Sprintf("m-%d", i)), group: g,
			running: true, term: firstTerm, incarnation: ctid.Incarnation(time.Now().UnixMilli()),
			sockets: make(map[net.Conn]struct{}),
		})
	}
	g.latest = g.Members[0]
	g.latest.primary = true
	return g
}

// notifyChange wakes all goroutines that wait for a change. The caller has locked the mutex.
func (g *Group) notifyChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Latest returns the member that was promoted last, and its term.
func (g *Group) Latest() (*Member, ctposition.Term) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.latest, g.term
}

// Term returns the term of the member that was promoted last.
func (g *Group) Term() ctposition.Term {
	_, term := g.Latest()
	return term
}

// PromotedSince reports whether a member was promoted in a term after one.
func (g *Group) PromotedSince(m *Member, term ctposition.Term) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.ContainsFunc(g.promoted, func(p promotion) bool { return p.member == m.Name && p.term > term })
}

// Member returns the member with a name, or nil.
func (g *Group) Member(name ctid.Member) *Member {
	for _, m := range g.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// SetReceiveDelay sets how much later than at the primary an entry arrives at a member.
func (g *Group) SetReceiveDelay(m *Member, delay time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.receiveDelay = delay
}

// SetBusy makes a member return no status, or ends that.
func (g *Group) SetBusy(m *Member, busy bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.busy = busy
}

// replicate delivers the logs until done is closed.
func (g *Group) replicate(done <-chan struct{}) {
	ticker := time.NewTicker(replicationInterval)
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

// deliver sends the replicas the entries that they lack, and makes a replaced primary step
// down when it has reached its successor for stepDownDelay.
func (g *Group) deliver(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, m := range g.Members {
		switch {
		case !m.running:
		case m.primary && m != g.latest:
			m.seekSuccessor(now)
		case !m.primary:
			if source := m.source(); source != nil {
				m.receive(now, source)
			}
		}
		m.apply(now)
	}
	g.notifyChange()
}

// seekSuccessor makes a replaced primary a replica if it has reached its successor for long
// enough.
func (m *Member) seekSuccessor(now time.Time) {
	switch {
	case !m.reaches(m.group.latest):
		m.successorSince = time.Time{}
	case m.successorSince.IsZero():
		m.successorSince = now
	case now.Sub(m.successorSince) >= stepDownDelay:
		m.demote("successor_reached")
	}
}

// reaches reports whether bytes pass both ways between a member and another one.
func (m *Member) reaches(other *Member) bool {
	network := m.group.network
	return other.running && !network.Held(m.Host, other.Host) && !network.Held(other.Host, m.Host)
}

// demote makes a primary a replica.
func (m *Member) demote(why string) {
	m.primary, m.successorSince = false, time.Time{}
	m.group.logger.Info().Str("event", "demoted").Str("member", string(m.Name)).Str("why", why).Send()
}

// source returns the primary of the latest term that a replica may receive from, or nil.
func (m *Member) source() *Member {
	var source *Member
	for _, p := range m.group.Members {
		if p == m || !p.primary || p.term < max(m.term, m.pausedBelow) || !m.reaches(p) {
			continue
		}
		if source == nil || p.term > source.term {
			source = p
		}
	}
	return source
}

// receive discards the entries that the source lacks and appends those that the member lacks.
func (m *Member) receive(now time.Time, source *Member) {
	common := min(len(m.log), len(source.log))
	for common > 0 && m.log[common-1].id != source.log[common-1].id {
		common--
	}
	if common < len(m.log) {
		m.group.logger.Info().Str("event", "rolled_back").Str("member", string(m.Name)).
			Int("entries", len(m.log)-common).Send()
		m.busyUntil = now.Add(rollbackDuration)
	}
	m.term = source.term
	// Limiting the capacity makes append copy the log.
	m.log, m.receivedAt = m.log[:common:common], m.receivedAt[:min(common, len(m.receivedAt))]
	for _, e := range source.log[common:] {
		if e.at.Add(m.receiveDelay).After(now) {
			break
		}
		m.log = append(m.log, e)
	}
	for len(m.receivedAt) < len(m.log) {
		m.receivedAt = append(m.receivedAt, now)
	}
	m.applied = min(m.applied, common)
}

// apply makes the entries visible that a replica received long enough ago. Those of a primary
// become visible when they are committed.
func (m *Member) apply(now time.Time) {
	for !m.primary && m.applied < len(m.log) {
		if m.applied < len(m.receivedAt) && m.receivedAt[m.applied].Add(applyLag).After(now) {
			return
		}
		m.applied++
	}
}

// pointOf returns the point after the first count entries.
func (m *Member) pointOf(count int) ctposition.Point {
	if count == 0 {
		return ctposition.Point{Term: firstTerm}
	}
	return ctposition.Point{Term: m.log[count-1].term, Position: ctposition.Position(count)}
}

// status returns the answer to a status query.
func (m *Member) status() ctquery.Status {
	role := ctserver.RoleReplica
	if m.primary {
		role = ctserver.RolePrimary
	}
	return ctquery.Status{
		Role: role, Term: m.term, Received: m.pointOf(len(m.log)), PausedBelow: m.pausedBelow,
		ApplyLag: applyLag, OpenConnections: len(m.sockets),
	}
}

// commit appends a commit of writes to a primary's log and waits until enough replicas have it. It
// returns the fault that refuses it. The commit is not answered if the member stops leading.
func (m *Member) commit(id ctquery.ID, writes []ctquery.ID) (fault ctquery.Fault, answered bool) {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !m.primary {
		return ctquery.FaultReadOnly, true
	}
	m.log = append(m.log, entry{term: m.term, id: id, at: time.Now(), writes: writes})
	number := len(m.log)
	point := m.pointOf(number)
	for m.primary && m.running {
		if g.received(m, id, number) >= syncReplicas {
			m.applied = max(m.applied, number)
			g.judge.recordCommit(id, commit{member: m.Name, point: point, at: time.Now(), latest: g.term})
			return ctquery.FaultNone, true
		}
		changed := g.changed
		g.mutex.Unlock()
		<-changed
		g.mutex.Lock()
	}
	return ctquery.FaultNone, false
}

// received returns how many running members other than m have an entry.
func (g *Group) received(m *Member, id ctquery.ID, number int) int {
	count := 0
	for _, o := range g.Members {
		if o != m && o.running && len(o.log) >= number && o.log[number-1].id == id {
			count++
		}
	}
	return count
}
