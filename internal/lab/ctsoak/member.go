package ctsoak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstutter"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/platform"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

// Timing of the reports of a member.
const (
	// memberReportInterval is the time between two reports without a change.
	memberReportInterval = 600 * time.Millisecond
	// reportTimeout is how long a member waits for control to confirm a report.
	reportTimeout = time.Second
)

// server accepts connections for a member and reports the member to control.
type server struct {
	member *member
	domain ctid.FailureDomain
	// relayAddress is the address of the member's relay, which is reported to control.
	// listenAddress is the one that the server listens on.
	relayAddress, listenAddress netip.AddrPort
	controlAddresses            func() []netip.AddrPort
	// connectionLimit is how many sessions the member accepts at once.
	connectionLimit int

	listener net.Listener
	// stopReporting is nil before the first start.
	stopReporting context.CancelFunc

	mutex sync.Mutex
	// busy is set while a fault stops or replaces the member.
	busy bool
	// originalName is the member's name before its first replacement, and generation
	// counts the replacements.
	originalName ctid.Member
	generation   int
}

// reserve reserves the member for a fault that stops it. It returns false if another such
// fault is in progress.
func (v *server) reserve() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.busy {
		return false
	}
	v.busy = true
	return true
}

// release ends a reservation.
func (v *server) release() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.busy = false
}

// crash stops the member without notice: it resets the connections and closes the listener.
func (v *server) crash() {
	v.member.group.Crash(v.member)
	v.shutDown()
}

// restart starts a crashed member again under a name, unless ctx has ended.
func (v *server) restart(ctx context.Context, name ctid.Member, logger zerolog.Logger) {
	if ctx.Err() != nil {
		return
	}
	v.member.group.Restart(v.member, name)
	if err := v.start(ctx); err != nil {
		logger.Error().Str("event", "member_failed").Str("member", string(name)).Str("error", err.Error()).Send()
	}
}

// start listens on the address and starts reporting. The listener is open until shutDown;
// the reports end at shutDown or with ctx.
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

// shutDown closes the listener and stops reporting.
func (v *server) shutDown() {
	v.stopReporting()
	_ = v.listener.Close()
}

// acceptConnections accepts connections until the listener is closed.
func (v *server) acceptConnections(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go v.serveConnection(socket)
	}
}

// serveConnection serves one connection until it ends or the member crashes. A crash
// resets the connection.
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
	conn := ctpeer.Accept(socket)
	s.answers = &ctstutter.Repeater[[]byte]{Plan: g.stutter, Send: conn.Write}
	defer s.answers.Close()
	startup, err := conn.ReadStartup()
	if err != nil {
		return
	}
	if fault := v.addSession(s, startup); fault != ctquery.FaultNone {
		_ = conn.Write(ctpeer.AppendRefusal(nil, fault, string(m.name)))
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
	if s.answers.Answer(ctpeer.AppendReady(nil, ctquery.TransactionNone, point)) != nil {
		return
	}
	v.serveQueries(conn, s)
}

// addSession adds a session to the member, or returns the fault that refuses it.
func (v *server) addSession(s *memberSession, startup ctpeer.Startup) ctquery.Fault {
	g, m := v.member.group, v.member
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case !m.running || startup.Group != g.name || (startup.Member != "" && startup.Member != m.name):
		return ctquery.FaultWrongMember
	case len(m.sessions) >= v.connectionLimit:
		return ctquery.FaultTooManyConnections
	}
	m.sessions[s] = struct{}{}
	return ctquery.FaultNone
}

// serveQueries answers queries until the connection ends. Queries are read in a goroutine
// of their own, so the end of the connection is seen while a query runs. Some queries get no
// answer, as memberSession.run decides.
func (v *server) serveQueries(conn *ctpeer.Member, s *memberSession) {
	queries := make(chan ctpeer.Query, maxQueued)
	go func() {
		defer close(queries)
		for {
			q, err := conn.ReadQuery()
			if err != nil {
				if errors.Is(err, ctpeer.ErrMalformed) {
					s.group.checker.recordViolation(InvariantOnlySent, "%s received %v", s.member.name, err)
				}
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
		if s.answers.Answer(ctpeer.AppendAnswer(nil, answer)) != nil {
			return
		}
	}
}

// report reports the member to control until ctx ends or the member crashes. It reports
// changes of the role or state at once. After a failed report it turns to the next
// control process.
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

// waitForNextReport waits until the next report is due, the member's role or state differs
// from the last report, the member has crashed, or ctx ends.
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
