package main

import (
	"fmt"
	"sync"
	"time"
)

// Timing of a group.
const (
	replicationInterval = 5 * time.Millisecond
	promotionDelay      = 300 * time.Millisecond
	stepDownDelay       = time.Second
	usualLag            = 20 * time.Millisecond
)

// Entry is a commit in a log.
type Entry struct {
	Term uint64
	// IDs are the query IDs of the writes and of the COMMIT.
	IDs []string
}

// Group is a primary with its replicas.
type Group struct {
	Service string
	// Sync is how many replicas must have received a commit before it is acknowledged.
	Sync    int
	Members []*Member
	rec     *Recorder

	mutex sync.Mutex
	term  uint64
	lead  *Member
}

// Member is a database member. Its group's mutex guards the lower part.
type Member struct {
	group   *Group
	ID      string
	Zone    string
	Address string
	Born    int64
	slots   chan struct{}
	// Work returns how long a statement occupies a slot.
	Work func() time.Duration

	primary     bool
	term        uint64
	pausedBelow uint64
	log         []Entry
	applyAt     []time.Time
	applied     int
	lag         time.Duration
	// cutFromMembers stops replication to and from the member. cutFromControl leaves the
	// commands of control and the member's own reports without an answer.
	cutFromMembers bool
	cutFromControl bool
	// cutFromFronts holds up what arrives on connections without an open transaction.
	cutFromFronts bool
	leaving       bool
	running       bool
	sawSuccessor  time.Time
	sequence      uint64
	conns         map[*memberConn]struct{}
}

// NewGroup returns a group of three members, the first of which leads term 3.
func NewGroup(rec *Recorder, service string, sync int, addresses, zones []string) *Group {
	g := &Group{Service: service, Sync: sync, rec: rec, term: 3}
	for i, address := range addresses {
		g.Members = append(g.Members, &Member{
			group: g, ID: fmt.Sprintf("i-%s%d", service, i), Zone: zones[i%len(zones)], Address: address,
			Born: time.Now().UnixMilli(), slots: make(chan struct{}, 5), term: 3, lag: usualLag, running: true,
			Work:  func() time.Duration { return 5 * time.Millisecond },
			conns: make(map[*memberConn]struct{}),
		})
	}
	g.lead = g.Members[0]
	g.lead.primary = true
	return g
}

// Run replicates until stop is closed.
func (g *Group) Run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(replicationInterval):
		}
		g.mutex.Lock()
		g.replicate(time.Now())
		g.mutex.Unlock()
	}
}

func (g *Group) replicate(now time.Time) {
	for _, m := range g.Members {
		if m.running && m.primary && m != g.lead {
			g.demoteReplaced(now, m)
		}
		if m.primary || !m.running {
			continue
		}
		if source := g.sourceOf(m); source != nil {
			m.receive(now, source)
		}
		m.apply(now)
	}
}

// demoteReplaced makes a replaced primary a replica a second after it can reach the new one.
func (g *Group) demoteReplaced(now time.Time, m *Member) {
	if m.cutFromMembers || g.lead.cutFromMembers || !g.lead.running {
		m.sawSuccessor = time.Time{}
		return
	}
	if m.sawSuccessor.IsZero() {
		m.sawSuccessor = now
	}
	if now.Sub(m.sawSuccessor) >= stepDownDelay {
		m.demote("the new primary was reachable for a second")
	}
}

func (m *Member) demote(why string) {
	m.primary = false
	m.applied = len(m.log)
	m.group.rec.Log("member %s is a replica now: %s", m.ID, why)
}

// sourceOf returns the primary of the latest term that a replica can reach.
func (g *Group) sourceOf(m *Member) *Member {
	if m.cutFromMembers {
		return nil
	}
	var source *Member
	for _, p := range g.Members {
		if p == m || !p.primary || !p.running || p.cutFromMembers || p.term < m.term || p.term < m.pausedBelow {
			continue
		}
		if source == nil || p.term > source.term {
			source = p
		}
	}
	return source
}

// receive copies the log of the source.
func (m *Member) receive(now time.Time, source *Member) {
	if source.term > m.term {
		same := 0
		for same < len(m.log) && same < len(source.log) && m.log[same].Term == source.log[same].Term {
			same++
		}
		m.log, m.applyAt = m.log[:same], m.applyAt[:min(same, len(m.applyAt))]
		m.applied = min(m.applied, same)
		m.term, m.pausedBelow = source.term, 0
	}
	for len(m.log) < len(source.log) {
		m.log = append(m.log, source.log[len(m.log)])
	}
	for len(m.applyAt) < len(m.log) {
		m.applyAt = append(m.applyAt, now.Add(m.lag))
	}
}

// apply makes the entries visible whose time has come.
func (m *Member) apply(now time.Time) {
	for m.applied < len(m.log) && (m.applied >= len(m.applyAt) || !now.Before(m.applyAt[m.applied])) {
		m.applied++
	}
}

// visible returns how many entries of the log reads see.
func (m *Member) visible() int {
	if m.primary {
		return len(m.log)
	}
	return m.applied
}

// position returns the position of the n-th entry as the wire shows it.
func (m *Member) position(n int) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", m.log[n-1].Term, n)
}

// covers reports whether the visible log has the position.
func (m *Member) covers(term uint64, number int) bool {
	n := m.visible()
	if number > n {
		return n > 0 && m.log[n-1].Term > term
	}
	return number == 0 || m.log[number-1].Term >= term
}

// commit appends an entry on a primary and waits until enough replicas have received it. It
// returns the number, or 0 if the member stopped leading first.
func (m *Member) commit(ids []string) int {
	g := m.group
	g.mutex.Lock()
	if !m.primary {
		g.mutex.Unlock()
		return 0
	}
	m.log = append(m.log, Entry{Term: m.term, IDs: ids})
	number, term := len(m.log), m.term
	g.mutex.Unlock()
	for {
		g.mutex.Lock()
		received := 0
		for _, r := range g.Members {
			if r != m && len(r.log) >= number && r.log[number-1].Term == term {
				received++
			}
		}
		led := m.primary && m.running
		g.mutex.Unlock()
		switch {
		case received >= g.Sync:
			return number
		case !led:
			return 0
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Promote makes a member the primary of the next term after the promotion's delay.
func (g *Group) Promote(id, holder, token string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var chosen *Member
	for _, m := range g.Members {
		if m.ID == id {
			chosen = m
		}
	}
	if chosen == nil || !chosen.running {
		return 409
	}
	g.rec.Log("platform: promotion of %s by %s with token %s", id, holder, token)
	if chosen == g.lead {
		return 200
	}
	time.AfterFunc(promotionDelay, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if chosen == g.lead {
			return
		}
		g.term++
		g.lead = chosen
		chosen.primary, chosen.term, chosen.pausedBelow = true, g.term, 0
		chosen.applied = len(chosen.log)
		for _, m := range g.Members {
			m.pausedBelow = 0
		}
		g.rec.Log("promotion in effect: %s leads term %d with %d commits", id, g.term, len(chosen.log))
	})
	return 200
}

// Lead returns the latest primary and its term.
func (g *Group) Lead() (*Member, uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.lead, g.term
}

// Do calls change with the mutex locked.
func (g *Group) Do(change func()) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change()
}
