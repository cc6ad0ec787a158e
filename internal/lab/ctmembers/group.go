package ctmembers

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstutter"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
)

// Options are the settings of a group. Its members all have the same limits.
type Options struct {
	Name ctid.Group
	// Members is the number of members, the primary included.
	Members int
	// Slots is how many statements a member runs at once.
	Slots int
	// QueueDepth is how many statements may wait for a slot of a member. The member
	// answers further ones with FaultBusy.
	QueueDepth int
	// StatementDelay is how long a statement occupies its slot, and ConnectDelay how
	// long the opening of a connection occupies one.
	StatementDelay time.Duration
	ConnectDelay   time.Duration
	// Connections is how many connections a member accepts at one time.
	Connections int
	// LagEntries is how many of the newest log entries the replicas have not applied.
	LagEntries int
	// Stutter says which answers of members are sent twice. nil means none.
	Stutter *ctstutter.Plan
	// MaxArgumentsBytes is the length of the longest arguments of a write that fit on a line,
	// or 0 if all do.
	MaxArgumentsBytes int
}

// firstTerm is the group's term before the first promotion.
const firstTerm ctposition.Term = 1

// Group is a database group in memory. Its first member is the primary until another one
// is promoted. It is safe for concurrent use.
type Group struct {
	Options

	mutex      sync.Mutex
	members    map[ctid.Member]*member
	log        []entry
	term       ctposition.Term
	violations []string
	// results has the successful answers by their proofs.
	results map[string]result
	// workspaces has the workspace of the connection on which each query ran.
	workspaces map[ctquery.ID]ctid.Workspace
	// answersToDrop is how many of the next answers get lost.
	answersToDrop int
	// namesToLose is how many of the next executions find no prepared statement.
	namesToLose int
	// failing is the member that fails its reads; empty if none does.
	failing ctid.Member
	// hold holds back the next answer; nil if none is to be held back.
	hold *answerHold
}

// result is a successful answer of a member.
type result struct {
	id   ctquery.ID
	rows []string
}

// entry is a log entry: a write, the ID of its query and the term of the primary that
// committed it.
type entry struct {
	item, data string
	id         ctquery.ID
	term       ctposition.Term
}

// member is one member of a group. The group's mutex guards its counts.
type member struct {
	name    ctid.Member
	primary bool
	// appliedAsPrimary is how many log entries the member had when it ceased to be the
	// primary.
	appliedAsPrimary int
	// slots contains an element for each slot in use.
	slots             chan struct{}
	waitingStatements int
	// rejectedStatements counts the statements that found the queue full.
	rejectedStatements int
	openConnections    int
	// dialCount counts the attempts to open a connection, refused ones included.
	dialCount int
	// closeCount counts the connections that were closed.
	closeCount int
}

// New returns a group with an empty log.
func New(options Options) *Group {
	g := &Group{
		Options: options, members: make(map[ctid.Member]*member), term: firstTerm, results: make(map[string]result),
		workspaces: make(map[ctquery.ID]ctid.Workspace),
	}
	for i := range options.Members {
		name := MemberName(i)
		g.members[name] = &member{name: name, primary: i == 0, slots: make(chan struct{}, options.Slots)}
	}
	return g
}

// MemberName returns the name of the member with a number from 0. Number 0 is the
// primary.
func MemberName(i int) ctid.Member {
	return ctid.Member(fmt.Sprintf("m%d", i))
}

// Announcements returns an announcement of each member, all in one failure domain.
func (g *Group) Announcements(domain ctid.FailureDomain) []ctserver.Announcement {
	var announcements []ctserver.Announcement
	for i := range g.Members {
		role := ctserver.RoleReplica
		if i == 0 {
			role = ctserver.RolePrimary
		}
		announcements = append(announcements, ctserver.Announcement{
			Group: g.Name, Member: MemberName(i), FailureDomain: domain, Incarnation: 1, Term: firstTerm,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1),
			Role:    role, State: ctserver.StateReady, Slots: g.Slots, Connections: g.Connections,
		})
	}
	return announcements
}

// Violations returns the recorded violations.
func (g *Group) Violations() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return append([]string(nil), g.violations...)
}

// CloseCount returns how many connections to a member were closed.
func (g *Group) CloseCount(name ctid.Member) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.members[name].closeCount
}

// DialCount returns how often opening a connection to a member was attempted.
func (g *Group) DialCount(name ctid.Member) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.members[name].dialCount
}

// RejectedCount returns how many statements a member rejected because its queue was full.
func (g *Group) RejectedCount(name ctid.Member) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.members[name].rejectedStatements
}

// WriteCounts returns how many committed writes each query ID has.
func (g *Group) WriteCounts() map[ctquery.ID]int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := make(map[ctquery.ID]int)
	for _, e := range g.log {
		count[e.id]++
	}
	return count
}

// recordWorkspace records for which workspace a member ran a query.
func (g *Group) recordWorkspace(id ctquery.ID, workspace ctid.Workspace) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.workspaces[id] = workspace
}

// Workspaces returns the workspace of the connection on which each query ran.
func (g *Group) Workspaces() map[ctquery.ID]ctid.Workspace {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return maps.Clone(g.workspaces)
}

// Dial opens a connection to a member. It uses a slot for the connect delay, and
// fails if the member's connections are all in use.
func (g *Group) Dial(
	_ context.Context, server ctserver.Announcement, workspace ctid.Workspace,
) (ctpools.RawConn, error) {
	m := g.members[server.Member]
	g.mutex.Lock()
	m.dialCount++
	full := m.openConnections >= g.Connections
	if !full {
		m.openConnections++
	}
	g.mutex.Unlock()
	if full {
		return nil, cterror.New(cterror.Exhausted, "the member accepts no more connections", "close some")
	}
	m.slots <- struct{}{}
	time.Sleep(g.ConnectDelay)
	<-m.slots
	return newConn(g, m, workspace), nil
}

// recordViolation records behaviour that must never occur.
func (g *Group) recordViolation(format string, arguments ...any) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.violations = append(g.violations, fmt.Sprintf(format, arguments...))
}

// provesRun reports whether the success of a statement has a proof.
func provesRun(statement ctquery.Statement) bool {
	switch statement.(type) {
	case ctquery.Read, ctquery.Write, ctquery.Execute, ctquery.Commit:
		return true
	}
	return false
}

// recordResult records a successful answer and returns its proof, which no other answer has.
func (g *Group) recordResult(id ctquery.ID, rows []string) string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	proof := fmt.Sprintf("proof-%d", len(g.results)+1)
	g.results[proof] = result{id: id, rows: rows}
	return proof
}

// CheckAnswer records a violation unless a success that a caller received is one that a member
// made for this query.
func (g *Group) CheckAnswer(q ctquery.Query, answer ctquery.Answer) {
	if !answer.OK() || !provesRun(q.Statement) {
		return
	}
	g.mutex.Lock()
	made, ok := g.results[answer.Proof]
	g.mutex.Unlock()
	if !ok || made.id != q.ID || !slices.Equal(made.rows, answer.Rows) {
		g.recordViolation("query %s, %#v, was answered with proof %q and rows %q; that is %+v",
			q.ID, q.Statement, answer.Proof, answer.Rows, made)
	}
}

// appliedCount returns how many log entries a member has applied. The caller has
// locked the mutex.
func (g *Group) appliedCount(m *member) int {
	if m.primary {
		return len(g.log)
	}
	return max(0, m.appliedAsPrimary, len(g.log)-g.LagEntries)
}

// point returns the point up to which a member has applied the log.
func (g *Group) point(m *member) ctposition.Point {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := g.appliedCount(m)
	point := ctposition.Point{Term: firstTerm, Position: ctposition.Position(count)}
	if count > 0 {
		point.Term = g.log[count-1].term
	}
	return point
}

// Promote makes another member the primary of the next term. The old primary becomes a
// replica that keeps what it has.
func (g *Group) Promote(name ctid.Member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, m := range g.members {
		if m.primary {
			m.primary, m.appliedAsPrimary = false, len(g.log)
		}
	}
	g.term++
	g.members[name].primary = true
}

// isPrimary reports whether a member considers itself the primary.
func (g *Group) isPrimary(m *member) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return m.primary
}

// Commit appends a write to the log, as if another proxy's caller had committed it.
func (g *Group) Commit(item, data string) {
	g.appendWrites([]entry{{item: item, data: data}})
}

// appendWrites appends committed writes to the log.
func (g *Group) appendWrites(writes []entry) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, w := range writes {
		w.term = g.term
		g.log = append(g.log, w)
	}
}

// read returns the newest data of an item: what the member has applied, with the
// writes of an open transaction on top. It returns "" if the item was never written.
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

// acquireSlot waits for a slot. It reports false at once if the member's queue is
// full.
func (g *Group) acquireSlot(m *member) bool {
	g.mutex.Lock()
	full := m.waitingStatements >= g.QueueDepth
	if full {
		m.rejectedStatements++
	} else {
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

// splitArguments splits the arguments of a write into the item and its data.
func splitArguments(arguments string) (item, data string) {
	item, data, _ = strings.Cut(arguments, " ")
	return item, data
}
