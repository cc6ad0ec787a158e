package ctpools

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Limits on the streams to the owners of workspaces.
const (
	// maxPeerStreams is how many streams a proxy has to one other proxy at most.
	maxPeerStreams = 32
	// workspaceIdleTimeout is how long a connection of one workspace, or a stream to an
	// owner, may idle. Small workspaces use theirs every few seconds only.
	workspaceIdleTimeout = 20 * time.Second
	// ownerAttempts is how many proxies are tried for one query.
	ownerAttempts = 3
	// ownerOpenTimeout bounds the opening of a stream if another proxy can be tried. It is
	// longer than a round trip between regions.
	ownerOpenTimeout = 100 * time.Millisecond
	// firstPeerPause is how long a proxy is passed over after a stream to it could not be opened,
	// or a reply did not arrive in time. It doubles with each further failure, up to
	// maxPeerPause.
	firstPeerPause = 250 * time.Millisecond
	maxPeerPause   = 4 * time.Second
	// noConnectionPause is how long another owner is preferred to one that could open no
	// connection to a member.
	noConnectionPause = 250 * time.Millisecond
)

// peerStreams holds the streams to one other proxy. A stream carries the queries of one user
// at a time, to any member.
type peerStreams struct {
	// idle holds the streams that no user has; the last one was returned last.
	idle []idleStream
	// open counts the streams that are open or being opened.
	open int
	// failures counts the consecutive failures. After one, the proxy is passed over until
	// nextOpenAt.
	failures   int
	nextOpenAt time.Time
	// passedOver is until when another owner is preferred for a member.
	passedOver map[ctid.Member]time.Time
}

type idleStream struct {
	executor *forwardingExecutor
	since    time.Time
}

// acquireByOwner is Acquire where each connection serves one workspace: it takes one of this
// proxy's own connections if it is an owner of the workspace, or else a stream to an owner.
func (p *Pools) acquireByOwner(
	held *ctlock.Held, o *ownership, name ctid.Member, options AcquireOptions,
) (*Conn, error) {
	server, ok := p.serverOf(held, name)
	if !ok {
		return nil, cterror.New(cterror.Unavailable, "the member is unknown", "try another member")
	}
	domain := o.domains[server.FailureDomain]
	order := domain.assignment.Order(p.Self.Name, options.Workspace)
	if options.AnyWorkspace && slices.Contains(domain.proxies, p.Self.Name) {
		order = []ctid.Proxy{p.Self.Name}
	}
	err := cterror.New(cterror.Unavailable, "no proxy owns connections to the member", "try another member")
	attempts := 0
	order = p.preferredOwners(held, o, name, order)
	for i, owner := range order {
		if owner == p.Self.Name {
			var conn *Conn
			conn, err = p.acquireOwn(held, name, options)
			if cterror.KindOf(err) != cterror.Unavailable {
				return conn, err
			}
			// The member may accept no connection of this proxy, and have some of the next owner.
			continue
		}
		peer := o.addresses[owner]
		stream, opening := p.takeStream(held, peer, attempts < ownerAttempts)
		if opening {
			attempts++
			timeout := min(streamOpenTimeout, options.Deadline.Sub(p.Clock.Now()))
			if i+1 < len(order) {
				timeout = min(timeout, ownerOpenTimeout)
			}
			stream, err = p.openStream(held, peer, timeout)
		}
		if stream != nil {
			return p.lendStream(held, server, peer, stream, options.Workspace), nil
		}
	}
	return nil, err
}

// preferredOwners returns the owners in the order in which to try them: last those that could open no
// connection to the member lately.
func (p *Pools) preferredOwners(
	held *ctlock.Held, o *ownership, name ctid.Member, owners []ctid.Proxy,
) []ctid.Proxy {
	var preferred, others []ctid.Proxy
	now := p.Clock.Now()
	p.peers.With(held, func(peers map[netip.AddrPort]*peerStreams) {
		for _, owner := range owners {
			if s, ok := peers[o.addresses[owner]]; ok && now.Before(s.passedOver[name]) {
				others = append(others, owner)
				continue
			}
			preferred = append(preferred, owner)
		}
	})
	return append(preferred, others...)
}

// passOver records that a proxy could open no connection to a member.
func (s *peerStreams) passOver(name ctid.Member, until time.Time) {
	if s.passedOver == nil {
		s.passedOver = make(map[ctid.Member]time.Time)
	}
	s.passedOver[name] = until
}

// serverOf returns the announcement of a member in the view, and whether there is one.
func (p *Pools) serverOf(held *ctlock.Held, name ctid.Member) (ctserver.Announcement, bool) {
	var server ctserver.Announcement
	found := false
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok {
			server, found = m.server, true
		}
	})
	return server, found
}

// lendStream makes a stream the user's connection to a member.
func (p *Pools) lendStream(
	held *ctlock.Held, server ctserver.Announcement, peer netip.AddrPort, stream *forwardingExecutor,
	workspace ctid.Workspace,
) *Conn {
	stream.member, stream.workspace = server.Member, workspace
	conn := newConn(server, stream)
	conn.peer, conn.workspace = peer, workspace
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[server.Member]; ok && m.server.Incarnation == server.Incarnation {
			p.markAcquired(m, conn)
			if m.answeredAt.IsZero() {
				m.answeredAt = conn.acquiredAt
			}
		}
	})
	return conn
}

// takeStream takes an idle stream to another proxy. If there is none, it returns nil and whether
// the caller is to open one, which is counted as open then.
func (p *Pools) takeStream(
	held *ctlock.Held, peer netip.AddrPort, mayOpen bool,
) (stream *forwardingExecutor, opening bool) {
	p.peers.With(held, func(peers map[netip.AddrPort]*peerStreams) {
		s, ok := peers[peer]
		if !ok {
			s = &peerStreams{}
			peers[peer] = s
		}
		if stream = s.pop(); stream != nil {
			return
		}
		opening = mayOpen && s.open < maxPeerStreams && !p.Clock.Now().Before(s.nextOpenAt)
		if opening {
			s.open++
		}
	})
	return stream, opening
}

// pop removes the idle stream that was returned last and still works. It returns nil if there
// is none.
func (s *peerStreams) pop() *forwardingExecutor {
	for len(s.idle) > 0 {
		last := len(s.idle) - 1
		stream := s.idle[last].executor
		s.idle = s.idle[:last]
		if stream.alive() {
			return stream
		}
		stream.close()
		s.open--
	}
	return nil
}

// pause records a failure: no stream to the proxy is opened for a while.
func (s *peerStreams) pause(now time.Time) {
	s.failures++
	s.nextOpenAt = now.Add(min(firstPeerPause<<min(s.failures-1, 8), maxPeerPause))
}

// openStream opens a stream that takeStream has counted.
func (p *Pools) openStream(held *ctlock.Held, peer netip.AddrPort, timeout time.Duration) (*forwardingExecutor, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	stream, err := p.Transport.Open(ctx, peer)
	p.peers.With(held, func(peers map[netip.AddrPort]*peerStreams) {
		s, ok := peers[peer]
		switch {
		case !ok:
		case err != nil:
			s.open--
			s.pause(p.Clock.Now())
		default:
			s.failures = 0
		}
	})
	if err != nil {
		return nil, err
	}
	return p.newForwardingExecutor("", stream), nil
}

// returnStream is Release for a stream to an owner. If the owner has left a query unanswered,
// the idle streams to it are closed too, since its machine may have failed.
func (p *Pools) returnStream(held *ctlock.Held, conn *Conn, result Result) {
	stream, ok := conn.executor.(*forwardingExecutor)
	if result.Discard || !conn.Alive() {
		conn.close()
	}
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[conn.Member]; ok && m.server.Incarnation == conn.incarnation {
			p.endUse(m, result)
		}
	})
	p.peers.With(held, func(peers map[netip.AddrPort]*peerStreams) {
		s, known := peers[conn.peer]
		if known && ok && stream.noConnection {
			stream.noConnection = false
			s.passOver(conn.Member, p.Clock.Now().Add(noConnectionPause))
		}
		switch {
		case !known || !ok:
			conn.close()
		case conn.Alive():
			s.idle = append(s.idle, idleStream{executor: stream, since: p.Clock.Now()})
		default:
			s.open--
			if stream.peerSilent {
				s.pause(p.Clock.Now())
				s.closeIdle(len(s.idle))
			}
		}
	})
}

// closeIdle closes the first count idle streams.
func (s *peerStreams) closeIdle(count int) {
	for _, idle := range s.idle[:count] {
		idle.executor.close()
	}
	s.idle = append(s.idle[:0], s.idle[count:]...)
	s.open -= count
}

// closeIdleStreams closes the streams that have idled for too long, and forgets the proxies to
// which none is left.
func (p *Pools) closeIdleStreams(held *ctlock.Held) {
	idleBefore := p.Clock.Now().Add(-workspaceIdleTimeout)
	p.peers.With(held, func(peers map[netip.AddrPort]*peerStreams) {
		for address, s := range peers {
			count := 0
			for count < len(s.idle) && s.idle[count].since.Before(idleBefore) {
				count++
			}
			s.closeIdle(count)
			if s.open == 0 && p.Clock.Now().After(s.nextOpenAt) {
				delete(peers, address)
			}
		}
	})
}

// reachRemote opens a stream to an owner of the member's connections in the background, so that
// the member counts as reached and the first query finds a stream.
func (p *Pools) reachRemote(m *memberPool) {
	if p.Clock.Now().Before(m.nextReachAt) {
		return
	}
	m.nextReachAt = p.Clock.Now().Add(streamOpenTimeout)
	name := m.server.Member
	go func() {
		var held ctlock.Held
		options := AcquireOptions{AnyWorkspace: true, Deadline: p.Clock.Now().Add(streamOpenTimeout)}
		if conn, err := p.Acquire(&held, name, options); err == nil {
			p.Release(&held, conn, Result{})
		}
	}()
}
