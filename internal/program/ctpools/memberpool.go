package ctpools

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmission"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// memberPool holds the connections to one member and what is known of the member.
type memberPool struct {
	server ctserver.Announcement
	// leavingSince is when a view first showed that the member leaves; zero while it
	// stays.
	leavingSince time.Time

	// The connections.

	// idle holds the connections that no user has; the last one was released last.
	idle []*Conn
	// open counts the connections that are open or being opened, and dialing
	// counts only those that are being opened.
	open    int
	dialing int
	// dialingFor counts the connections that are being opened, by workspace.
	dialingFor map[ctid.Workspace]int
	// closedInDoubt counts the connections that were closed because an answer was in
	// doubt, and not opened again since.
	closedInDoubt int
	// limit is how many connections may be open.
	limit int
	// opening paces the attempts to open connections.
	opening ctadmission.Opening

	// How the member is reached, by this proxy or over others.

	// forwarders are the proxies that forward queries to the member. The list is
	// empty if this proxy owns connections to it.
	forwarders []netip.AddrPort
	// forwarderIndex is the index of the proxy that the last stream was opened to,
	// modulo the length of forwarders.
	forwarderIndex int
	// remote reports whether other proxies open the connections to the member, by workspace.
	// Then this proxy has none, and reaches the member over the streams to those proxies.
	remote bool
	// standby reports whether this proxy owns no workspace's connections to the member, and opens
	// one only for queries that others forward to it.
	standby bool
	// nextReachAt is before when reachRemote does nothing.
	nextReachAt time.Time

	// The requests that wait, and the statements in flight.

	// queue holds the requests that wait for a connection, and ready the channels that receive
	// the connections. A channel is closed if none can be opened.
	queue ctadmission.Queue
	ready map[ctadmission.Ticket]chan *Conn
	// statements limits the statements in flight on this proxy's own connections.
	statements ctadmission.Limit
	// wakesAt is when serveWaiters runs again after a pause; zero if it doesn't.
	wakesAt time.Time
	// overdueAt is when a connection was last opened for a request that was overdue.
	overdueAt time.Time
	// loggedBound is the bound of statements that was logged last.
	loggedBound int

	// What is known of the member.

	latency  ctplace.Latency
	hint     ctplace.Hint
	outcomes ctplace.Outcomes
	// running counts the connections that users have acquired.
	running int
	// applied is the point that the member's last answer reported.
	applied ctposition.Point
	// avoidUntil is until when the member is used only as a last resort.
	avoidUntil time.Time
	// answeredAt is when the member last answered a query or a connection was opened.
	// unansweredSince is since when acquired connections have brought no answer; zero
	// while none is acquired.
	answeredAt      time.Time
	unansweredSince time.Time
}

// popIdle removes an idle connection that a request accepts and returns it, if possible one
// that has the session's values. It returns nil if there is none. Broken connections are
// closed.
func (m *memberPool) popIdle(state *ctdialog.State, r *ctadmission.Request) *Conn {
	m.closeBroken()
	best := -1
	for i, c := range slices.Backward(m.idle) {
		if !c.serves(r) {
			continue
		}
		if best < 0 {
			best = i
		}
		if state == nil || c.executor.matches(state) {
			best = i
			break
		}
	}
	if best < 0 {
		return nil
	}
	conn := m.idle[best]
	m.idle = slices.Delete(m.idle, best, best+1)
	return conn
}

// closeBroken closes the idle connections that can't be used any more.
func (m *memberPool) closeBroken() {
	alive := m.idle[:0]
	for _, c := range m.idle {
		if c.Alive() {
			alive = append(alive, c)
			continue
		}
		c.close()
		m.forget(c)
	}
	clear(m.idle[len(alive):])
	m.idle = alive
}

// forget stops counting a connection that was closed because it can't be used any more.
func (m *memberPool) forget(conn *Conn) {
	m.open--
	if conn.executor.closedInDoubt() {
		m.closedInDoubt++
	}
}

// countDialing adds a number to those of the connections that are being opened.
func (m *memberPool) countDialing(workspace ctid.Workspace, n int) {
	m.dialing += n
	if m.dialingFor == nil {
		m.dialingFor = make(map[ctid.Workspace]int)
	}
	if m.dialingFor[workspace] += n; m.dialingFor[workspace] == 0 {
		delete(m.dialingFor, workspace)
	}
}
