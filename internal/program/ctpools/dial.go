package ctpools

import (
	"context"
	"net/netip"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// dialMore starts to open one more connection for a workspace if the limits allow it. If the
// connections of other workspaces use up the limit, it closes the one of them that has been
// idle for the longest time. Only a few are opened at a time, because opening one occupies
// a slot of the member and many proxies may do so at once.
func (p *Pools) dialMore(m *memberPool, workspace ctid.Workspace) {
	now := p.Clock.Now()
	maxDialing := max(1, m.server.Slots/slotsPerDial)
	if len(m.forwarders) > 0 {
		maxDialing = concurrentStreamOpens
	}
	most := m.opening.Max(now, m.limit, m.dialing)
	if m.dialing >= maxDialing || most == 0 {
		return
	}
	if m.open >= most && !p.evictIdle(m, workspace, most) {
		return
	}
	m.open++
	m.countDialing(workspace, 1)
	var forwarder netip.AddrPort
	if len(m.forwarders) > 0 {
		m.forwarderIndex++
		forwarder = m.forwarders[m.forwarderIndex%len(m.forwarders)]
	}
	go p.dial(m.server, forwarder, workspace)
}

// evictIdle closes the connection of another workspace that has been idle for the longest time.
// It reports whether another connection can be opened then. It closes none if more than most are
// open, as after a reduction of the limit: there would still be no room.
func (p *Pools) evictIdle(m *memberPool, workspace ctid.Workspace, most int) bool {
	i := slices.IndexFunc(m.idle, func(c *Conn) bool { return c.workspace != workspace })
	if i < 0 || m.open > most {
		return false
	}
	m.idle[i].close()
	m.idle = slices.Delete(m.idle, i, i+1)
	m.open--
	if p.Metrics != nil {
		p.Metrics.EvictedConnections.Inc()
	}
	return true
}

// dial opens a connection for a workspace and assigns it. If forwarder is valid, dial opens a
// stream to the proxy at that address instead.
func (p *Pools) dial(server ctserver.Announcement, forwarder netip.AddrPort, workspace ctid.Workspace) {
	e, err := p.connect(server, forwarder, workspace)
	var held ctlock.Held
	if err != nil {
		p.Logger.Info().Str("event", "dial_failed").Str("member", string(server.Member)).
			Stringer("address", server.Address).Str("error", err.Error()).Send()
		p.recordDialFailure(&held, server, workspace, err)
		return
	}
	conn := newConn(server, e)
	conn.workspace = workspace
	if !forwarder.IsValid() {
		conn.pools = p
	}
	p.members.With(&held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[server.Member]
		if !ok || m.server.Incarnation != server.Incarnation {
			conn.close()
			return
		}
		m.countDialing(workspace, -1)
		m.answeredAt = p.Clock.Now()
		m.opening.Opened(m.answeredAt, m.open-m.dialing)
		p.countReopened(m)
		p.assign(m, conn)
	})
}

// connect opens a connection to a member for a workspace, or a stream to a proxy that forwards
// queries to it if forwarder is valid.
func (p *Pools) connect(
	server ctserver.Announcement, forwarder netip.AddrPort, workspace ctid.Workspace,
) (executor, error) {
	if forwarder.IsValid() {
		ctx, cancel := context.WithTimeout(context.Background(), streamOpenTimeout)
		defer cancel()
		stream, err := p.Transport.Open(ctx, forwarder)
		if err != nil {
			return nil, err
		}
		return p.newForwardingExecutor(server.Member, stream), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := p.Dialer.Dial(ctx, server, workspace)
	if err != nil {
		return nil, err
	}
	return newDirectExecutor(raw, p.Clock, p.reporter(server.Member)), nil
}

// recordDialFailure sets the pause before the next attempt. If no connection is left,
// it fails all waiters.
func (p *Pools) recordDialFailure(
	held *ctlock.Held, server ctserver.Announcement, workspace ctid.Workspace, err error,
) {
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[server.Member]
		if !ok || m.server.Incarnation != server.Incarnation {
			return
		}
		m.countDialing(workspace, -1)
		m.open--
		now := p.Clock.Now()
		if cterror.KindOf(err) == cterror.Exhausted {
			m.opening.Rejected(now, m.open-m.dialing, p.Random)
			if p.Metrics != nil {
				p.Metrics.ConnectionsRejected.WithLabelValues(string(server.Member)).Inc()
			}
		} else {
			m.opening.Failed(now)
		}
		if m.open > 0 {
			p.serveWaiters(m)
			return
		}
		m.failWaiters()
	})
}

// assign makes a free connection idle and passes it to the next request that accepts it. It
// closes the connection if no request does and more are open than the limit allows.
func (p *Pools) assign(m *memberPool, conn *Conn) {
	m.idle = append(m.idle, conn)
	p.serveWaiters(m)
	if last := len(m.idle) - 1; m.open > m.limit && last >= 0 && m.idle[last] == conn {
		conn.close()
		m.idle = m.idle[:last]
		m.open--
	}
}

// countReopened counts a connection that was opened in place of one closed in doubt.
func (p *Pools) countReopened(m *memberPool) {
	if m.closedInDoubt == 0 {
		return
	}
	m.closedInDoubt--
	if p.Metrics != nil {
		p.Metrics.DoubtfulReopens.Inc()
	}
}
