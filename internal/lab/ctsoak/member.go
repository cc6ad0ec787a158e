package ctsoak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

// The times of a member's process.
const (
	memberReportInterval = 600 * time.Millisecond
	// reportTimeout is how long a member waits for the confirmation of a report.
	reportTimeout = time.Second
)

// server serves a member at an address, and reports it to control.
type server struct {
	member *member
	domain ctid.FailureDomain
	// relayAddress is the address that is reported, and local the one that is served.
	relayAddress, listenAddress netip.AddrPort
	controlAddresses            func() []netip.AddrPort
	connectionLimit             int

	listener      net.Listener
	stopReporting context.CancelFunc

	mutex sync.Mutex
	// busy is set while the member is down or leaves.
	busy bool
	// originalName is the member's first name, and generation counts those that took its
	// place.
	originalName ctid.Member
	generation   int
}

// reserve reports whether the member may be ended now, and keeps others from it.
func (v *server) reserve() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.busy {
		return false
	}
	v.busy = true
	return true
}

func (v *server) release() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.busy = false
}

// crash ends the member without a word.
func (v *server) crash() {
	v.member.group.Crash(v.member)
	v.shutDown()
}

// restart starts the member again under a name.
func (v *server) restart(ctx context.Context, name ctid.Member, logger zerolog.Logger) {
	if ctx.Err() != nil {
		return
	}
	v.member.group.Restart(v.member, name)
	if err := v.start(ctx); err != nil {
		logger.Error().Str("event", "member_failed").Str("member", string(name)).Str("error", err.Error()).Send()
	}
}

// start opens the address and reports until stop is called.
func (v *server) start(ctx context.Context) error {
	var err error
	if v.listener, err = net.Listen("tcp4", v.listenAddress.String()); err != nil {
		return errors.Wrap(err, "open a member's address")
	}
	ctx, v.stopReporting = context.WithCancel(ctx)
	go v.acceptConnections(v.listener)
	go v.report(ctx, uint64(time.Now().UnixMilli()))
	return nil
}

// shutDown closes the address and stops reporting.
func (v *server) shutDown() {
	v.stopReporting()
	_ = v.listener.Close()
}

func (v *server) acceptConnections(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go v.serveConnection(socket)
	}
}

// serveConnection serves one connection until it ends or the member crashes.
func (v *server) serveConnection(socket net.Conn) {
	g, m := v.member.group, v.member
	s := newMemberSession(g, m)
	defer s.disconnect()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-s.closed:
			if tcp, ok := socket.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		case <-done:
		}
		_ = socket.Close()
	}()
	conn := platform.AcceptMember(socket)
	group, name, err := conn.ReadStartup()
	if err != nil {
		return
	}
	if fault := v.addSession(s, group, name); fault != ctquery.FaultNone {
		_ = conn.RefuseStartup(fault, string(m.name))
		return
	}
	defer func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		delete(m.sessions, s)
	}()
	g.mutex.Lock()
	point, slots := m.appliedPoint(), m.slots
	g.mutex.Unlock()
	select {
	case slots <- struct{}{}:
		time.Sleep(handshakeDuration)
		<-slots
	case <-s.closed:
		return
	}
	if conn.AcceptStartup(point) != nil {
		return
	}
	v.serveQueries(conn, s)
}

// addSession adds a session, or tells why it is refused.
func (v *server) addSession(s *memberSession, group ctid.Group, name ctid.Member) ctquery.Fault {
	g, m := v.member.group, v.member
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case !m.running || group != g.name || (name != "" && name != m.name):
		return ctquery.FaultWrongMember
	case len(m.sessions) >= v.connectionLimit:
		return ctquery.FaultTooManyConnections
	}
	m.sessions[s] = struct{}{}
	return ctquery.FaultNone
}

// serveQueries answers queries until the connection ends or an answer goes missing for
// good. Queries are read ahead, so that the end of the connection is seen at once.
func (v *server) serveQueries(conn *platform.MemberConn, s *memberSession) {
	queries := make(chan ctquery.Query, maxQueued)
	go func() {
		defer close(queries)
		for {
			q, err := conn.ReadQuery()
			if err != nil {
				s.disconnect()
				return
			}
			select {
			case queries <- q:
			case <-s.closed:
				return
			}
		}
	}()
	for q := range queries {
		answer, answered := s.run(q)
		select {
		case <-s.closed:
			return
		default:
		}
		if !answered {
			continue
		}
		if conn.WriteAnswer(answer) != nil {
			return
		}
	}
}

// report reports the member until ctx ends; a change of its role at once.
func (v *server) report(ctx context.Context, incarnation uint64) {
	var client platform.ExternalClient
	var last ctserver.Announcement
	controlIndex := 0
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		g := v.member.group
		name, role, state, running := g.status(v.member)
		if !running {
			return
		}
		last = ctserver.Announcement{
			Group: g.name, Member: name, FailureDomain: v.domain, Address: v.relayAddress, Slots: g.slots,
			Role: role, State: state, Incarnation: ctid.Incarnation(incarnation), Sequence: sequence,
		}
		controls := v.controlAddresses()
		reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		ok, err := client.Report(reportCtx, controls[controlIndex%len(controls)], last)
		cancel()
		if err != nil || !ok {
			controlIndex++
		}
		v.waitForNextReport(ctx, last)
	}
}

// waitForNextReport waits until the next report is due, or the member's role or state changes.
func (v *server) waitForNextReport(ctx context.Context, last ctserver.Announcement) {
	due := time.After(memberReportInterval)
	for {
		_, role, state, running := v.member.group.status(v.member)
		if role != last.Role || state != last.State || !running {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-due:
			return
		case <-time.After(memberReportInterval / 10):
		}
	}
}
