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
	memberReportTime = 600 * time.Millisecond
	// reportWait is how long a member waits for the confirmation of a report.
	reportWait = time.Second
)

// server serves a member at an address, and reports it to control.
type server struct {
	member *member
	domain ctid.FailureDomain
	// front is the address that is reported, and local the one that is served.
	front, local netip.AddrPort
	controls     func() []netip.AddrPort
	limit        int

	listener net.Listener
	stop     context.CancelFunc

	mutex sync.Mutex
	// busy is set while the member is down or leaves.
	busy bool
	// first is the member's first name, and generation counts those that took its
	// place.
	first      ctid.Member
	generation int
}

// claim reports whether the member may be ended now, and keeps others from it.
func (v *server) claim() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.busy {
		return false
	}
	v.busy = true
	return true
}

func (v *server) free() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.busy = false
}

// crash ends the member without a word.
func (v *server) crash() {
	v.member.group.Crash(v.member)
	v.end()
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
	if v.listener, err = net.Listen("tcp4", v.local.String()); err != nil {
		return errors.Wrap(err, "open a member's address")
	}
	ctx, v.stop = context.WithCancel(ctx)
	go v.accept(v.listener)
	go v.report(ctx, uint64(time.Now().UnixMilli()))
	return nil
}

// end closes the address and stops reporting.
func (v *server) end() {
	v.stop()
	_ = v.listener.Close()
}

func (v *server) accept(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go v.serve(socket)
	}
}

// serve serves one connection until it ends or the member crashes.
func (v *server) serve(socket net.Conn) {
	g, m := v.member.group, v.member
	s := newSession(g, m)
	defer s.cut()
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		select {
		case <-s.closed:
			if tcp, ok := socket.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		case <-stopped:
		}
		_ = socket.Close()
	}()
	end := platform.AcceptMember(socket)
	group, name, err := end.ReadStartup()
	if err != nil {
		return
	}
	if fault := v.enter(s, group, name); fault != ctquery.FaultNone {
		_ = end.RefuseStartup(fault, string(m.name))
		return
	}
	defer func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		delete(m.sessions, s)
	}()
	g.mutex.Lock()
	point, slots := m.point(), m.slots
	g.mutex.Unlock()
	select {
	case slots <- struct{}{}:
		time.Sleep(handshakeTime)
		<-slots
	case <-s.closed:
		return
	}
	if end.AcceptStartup(point) != nil {
		return
	}
	v.converse(end, s)
}

// enter adds a session, or tells why it is refused.
func (v *server) enter(s *session, group ctid.Group, name ctid.Member) ctquery.Fault {
	g, m := v.member.group, v.member
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case !m.running || group != g.name || (name != "" && name != m.name):
		return ctquery.FaultWrongMember
	case len(m.sessions) >= v.limit:
		return ctquery.FaultTooManyConnections
	}
	m.sessions[s] = struct{}{}
	return ctquery.FaultNone
}

// converse answers queries until the connection ends or an answer goes missing for
// good. Queries are read ahead, so that the end of the connection is seen at once.
func (v *server) converse(end *platform.MemberConn, s *session) {
	queries := make(chan ctquery.Query, queueRoom)
	go func() {
		defer close(queries)
		for {
			q, err := end.ReadQuery()
			if err != nil {
				s.cut()
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
		if end.WriteAnswer(answer) != nil {
			return
		}
	}
}

// report reports the member until ctx ends; a change of its role at once.
func (v *server) report(ctx context.Context, born uint64) {
	var outside platform.ExternalClient
	var last ctserver.Announcement
	at := 0
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		g := v.member.group
		name, role, state, running := g.role(v.member)
		if !running {
			return
		}
		last = ctserver.Announcement{
			Group: g.name, Member: name, FailureDomain: v.domain, Address: v.front, Slots: g.slots,
			Role: role, State: state, Incarnation: ctid.Incarnation(born), Sequence: sequence,
		}
		controls := v.controls()
		call, cancel := context.WithTimeout(ctx, reportWait)
		ok, err := outside.Report(call, controls[at%len(controls)], last)
		cancel()
		if err != nil || !ok {
			at++
		}
		v.rest(ctx, last)
	}
}

// rest waits until the next report is due, or the member's role or state changes.
func (v *server) rest(ctx context.Context, last ctserver.Announcement) {
	due := time.After(memberReportTime)
	for {
		_, role, state, running := v.member.group.role(v.member)
		if role != last.Role || state != last.State || !running {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-due:
			return
		case <-time.After(memberReportTime / 10):
		}
	}
}
