package ctmembers

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
)

// Options describe a group.
type Options struct {
	Name    ctid.Group
	Members int
	Slots   int
	// QueueDepth is how many statements may wait for a slot.
	QueueDepth int
	// StatementDelay is how long a statement takes, and Handshake a new connection.
	StatementDelay time.Duration
	ConnectDelay   time.Duration
	// Connections is how many connections a member accepts.
	Connections int
	// LagEntries is how many of the newest entries replicas have not applied.
	LagEntries int
}

// term is that of the group's only primary.
const term = 1

// Group is a database group. Its first member is the primary.
type Group struct {
	Options

	mutex      sync.Mutex
	members    map[ctid.Member]*member
	log        []entry
	violations []string
	// answersToDrop makes the answers to the next so many statements go missing.
	answersToDrop int
}

// entry is a write that was committed.
type entry struct {
	item, data string
	id         ctquery.ID
}

// member is one member of a group.
type member struct {
	name              ctid.Member
	primary           bool
	slots             chan struct{}
	waitingStatements int
	openConnections   int
	// dialCount counts the connections that were opened.
	dialCount int
}

// New returns a group whose log is empty.
func New(options Options) *Group {
	g := &Group{Options: options, members: make(map[ctid.Member]*member)}
	for i := range options.Members {
		name := MemberName(i)
		g.members[name] = &member{name: name, primary: i == 0, slots: make(chan struct{}, options.Slots)}
	}
	return g
}

// MemberName returns the name of a member by its number.
func MemberName(i int) ctid.Member {
	return ctid.Member(fmt.Sprintf("m%d", i))
}

// Announcements returns what the members say of themselves.
func (g *Group) Announcements(domain ctid.FailureDomain) []ctserver.Announcement {
	var announcements []ctserver.Announcement
	for i := range g.Members {
		role := ctserver.RoleReplica
		if i == 0 {
			role = ctserver.RolePrimary
		}
		announcements = append(announcements, ctserver.Announcement{
			Group: g.Name, Member: MemberName(i), FailureDomain: domain, Incarnation: 1, Term: term,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1),
			Role:    role, State: ctserver.StateReady, Slots: g.Slots, Connections: g.Connections,
		})
	}
	return announcements
}

// DropAnswers makes the answers to the next so many statements go missing.
func (g *Group) DropAnswers(count int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.answersToDrop = count
}

// Violations returns what must never happen and did.
func (g *Group) Violations() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return append([]string(nil), g.violations...)
}

// DialCount returns how many connections a member was asked to open.
func (g *Group) DialCount(name ctid.Member) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.members[name].dialCount
}

// WriteCounts returns how often each id has written.
func (g *Group) WriteCounts() map[ctquery.ID]int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := make(map[ctquery.ID]int)
	for _, e := range g.log {
		count[e.id]++
	}
	return count
}

// Dial opens a connection to a member.
func (g *Group) Dial(_ context.Context, server ctserver.Announcement) (ctpools.RawConn, error) {
	m := g.members[server.Member]
	g.mutex.Lock()
	m.dialCount++
	full := m.openConnections >= g.Connections
	if !full {
		m.openConnections++
	}
	g.mutex.Unlock()
	if full {
		return nil, cterror.New(cterror.Unavailable, "the member accepts no more connections", "close some")
	}
	m.slots <- struct{}{}
	time.Sleep(g.ConnectDelay)
	<-m.slots
	return newConn(g, m), nil
}

// recordViolation notes a fault.
func (g *Group) recordViolation(format string, arguments ...any) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.violations = append(g.violations, fmt.Sprintf(format, arguments...))
}

// dropNextAnswer reports whether the next answer goes missing.
func (g *Group) dropNextAnswer() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.answersToDrop == 0 {
		return false
	}
	g.answersToDrop--
	return true
}

// appliedCount returns how many entries a member shows.
func (g *Group) appliedCount(m *member) int {
	if m.primary {
		return len(g.log)
	}
	return max(0, len(g.log)-g.LagEntries)
}

// point returns a member's place in the log.
func (g *Group) point(m *member) ctposition.Point {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return ctposition.Point{Term: term, Position: ctposition.Position(g.appliedCount(m))}
}

// appendWrites appends writes to the log.
func (g *Group) appendWrites(writes []entry) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.log = append(g.log, writes...)
}

// read returns the data of an item as a member shows it, with writes of an open
// transaction on top.
func (g *Group) read(m *member, item string, writes []entry) string {
	g.mutex.Lock()
	shown := append(append([]entry(nil), g.log[:g.appliedCount(m)]...), writes...)
	g.mutex.Unlock()
	for i := len(shown) - 1; i >= 0; i-- {
		if shown[i].item == item {
			return shown[i].data
		}
	}
	return ""
}

// acquireSlot waits for a slot, and reports false where the queue is full.
func (g *Group) acquireSlot(m *member) bool {
	g.mutex.Lock()
	full := m.waitingStatements >= g.QueueDepth
	if !full {
		m.waitingStatements++
	}
	g.mutex.Unlock()
	if full {
		return false
	}
	m.slots <- struct{}{}
	g.mutex.Lock()
	m.waitingStatements--
	g.mutex.Unlock()
	return true
}

func splitArguments(arguments string) (item, data string) {
	item, data, _ = strings.Cut(arguments, " ")
	return item, data
}
