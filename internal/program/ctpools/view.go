package ctpools

import (
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
)

// ApplyView installs a newer view. It adds, updates and removes members, and sets how
// many connections to each of them this proxy may use.
func (p *Pools) ApplyView(held *ctlock.Held, view *ctview.View) {
	now := p.Clock.Now()
	p.updateOwnership(view)
	p.updatePolicy(view)
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		for name, m := range members {
			if _, ok := view.Members[name]; !ok {
				m.shutDown()
				delete(members, name)
			}
		}
		for name, server := range view.Members {
			m, ok := members[name]
			if !ok || m.server.Incarnation != server.Incarnation {
				if ok {
					m.shutDown()
				}
				m = &memberPool{}
				members[name] = m
			}
			share := p.shareOf(view, server)
			if !ok && share.reserved > 0 && now.Sub(p.startedAt) < lostConnectionTTL {
				m.opening.Begin(now, share.reserved, p.Random)
			}
			p.updateMember(m, now, server, share)
		}
	})
	if len(view.Members) > 0 {
		p.membersKnownOnce.Do(func() { close(p.membersKnown) })
	}
}

// connectionShare says how a proxy gets to a member: over its own connections, or
// over streams to the proxies that forward its queries.
type connectionShare struct {
	// limit is how many connections, or streams, the proxy may have.
	limit int
	// forwarders is empty if the proxy has its own connections.
	forwarders []netip.AddrPort
	// remote reports whether the owners of each workspace have the connections instead.
	remote bool
	// standby reports whether the proxy is no owner and opens a connection only for queries that
	// others forward to it.
	standby bool
	// processes is how many proxies have connections to the member.
	processes int
	// reserved is how many connections this proxy may open at first after its start, as the
	// member may count former ones; 0 if any number up to limit.
	reserved int
}

// startNumerator and startDenominator are the fraction of its share that a proxy opens at first
// after its start, as the member may still count its former connections.
const (
	startNumerator   = 3
	startDenominator = 8
)

// minShare is the least number of connections per proxy with which all proxies open
// their own. With fewer, queries are forwarded.
const minShare = 2

// shareOf returns this proxy's share of a member's connections. If there are enough,
// every proxy has a share. Otherwise only the proxies of the member's failure domain
// have one, and they forward the queries of the others. Proxies of that domain are
// chosen because a failure of the domain takes the member down as well.
func (p *Pools) shareOf(view *ctview.View, server ctserver.Announcement) connectionShare {
	if o := p.ownership.Load(); o != nil {
		return o.shareOf(p.Self, server)
	}
	connections := server.Connections - reservedForControl
	share := connections / max(1, len(view.Proxies))
	domainProxies := view.ProxiesOf(server.FailureDomain)
	if share >= minShare || p.Transport == nil || len(domainProxies) == 0 {
		return connectionShare{limit: max(1, share), processes: len(view.Proxies)}
	}
	if p.Self.FailureDomain == server.FailureDomain {
		limit := max(1, connections/len(domainProxies))
		return connectionShare{
			limit: limit, processes: len(domainProxies),
			reserved: max(1, limit*startNumerator/startDenominator),
		}
	}
	return connectionShare{limit: maxForwardStreams, forwarders: p.forwarders(view, domainProxies)}
}

// forwarders returns the addresses of those domain proxies that aren't about to stop,
// or that of the first one if all are. The list starts at an index derived from this
// proxy's name, which spreads the load evenly.
func (p *Pools) forwarders(view *ctview.View, domainProxies []ctid.Proxy) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, name := range domainProxies {
		if proxy := view.Proxies[name]; proxy.State == ctserver.StateReady {
			addresses = append(addresses, proxy.Address)
		}
	}
	if len(addresses) == 0 {
		return []netip.AddrPort{view.Proxies[domainProxies[0]].Address}
	}
	start := int(uint64(ctpool.KeyOf(p.Self.Name)) % uint64(len(addresses)))
	return append(addresses[start:], addresses[:start]...)
}

// OwnsConnections reports whether this proxy opens its own connections to a member. It
// is false for members whose queries other proxies forward, and for unknown ones.
func (p *Pools) OwnsConnections(held *ctlock.Held, name ctid.Member) bool {
	owns := false
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[name]
		owns = ok && len(m.forwarders) == 0 && !m.remote
	})
	return owns
}

// updateMember applies a member's announcement and this proxy's share. Idle connections
// are closed where the share shrinks or changes between own and forwarded.
func (p *Pools) updateMember(m *memberPool, now time.Time, server ctserver.Announcement, share connectionShare) {
	if (len(share.forwarders) > 0) != (len(m.forwarders) > 0) || share.remote != m.remote {
		for _, c := range m.idle {
			c.close()
		}
		m.open -= len(m.idle)
		m.idle = nil
	}
	m.forwarders, m.remote, m.standby = share.forwarders, share.remote, share.standby
	limit := share.limit
	m.server = server
	m.statements.Slots, m.statements.Processes = server.Slots, share.processes
	switch {
	case server.State == ctserver.StateReady:
		m.leavingSince = time.Time{}
	case m.leavingSince.IsZero():
		m.leavingSince = now
	}
	if m.limit != limit {
		m.limit = limit
		p.logLimit(server.Member, limit)
	}
	m.closeBroken()
	for m.open > m.limit && len(m.idle) > 0 {
		m.idle[0].close()
		m.idle = m.idle[1:]
		m.open--
	}
}

// shutDown closes the idle connections and fails the waiters of a member that is gone
// or has restarted.
func (m *memberPool) shutDown() {
	for _, c := range m.idle {
		c.close()
	}
	m.idle = nil
	m.failWaiters()
}

// Maintain is called periodically. It opens a connection to each member of the groups
// in use that has none, which saves the first request the wait. A stream to a
// forwarding proxy is opened this way only until the member was reached once, because
// streams cost the member nothing.
//
// It also closes connections that were not acquired lately. After a proxy loses power,
// the member counts the proxy's connections for a while, and the restarted proxy
// needs room for new ones.
func (p *Pools) Maintain(held *ctlock.Held, usedGroups ctset.Set[ctid.Group]) {
	idleTimeout := surplusIdleTimeout
	if p.ownership.Load() != nil {
		idleTimeout = workspaceIdleTimeout
		p.closeIdleStreams(held)
	}
	idleBefore := p.Clock.Now().Add(-idleTimeout)
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		for _, m := range members {
			p.setGauges(m)
			m.closeBroken()
			minOpen := 0
			used := usedGroups.Has(m.server.Group)
			if used && !m.standby {
				minOpen = 1
			}
			for m.open > minOpen && len(m.idle) > 0 && m.idle[0].acquiredAt.Before(idleBefore) {
				m.idle[0].close()
				m.idle = m.idle[1:]
				m.open--
			}
			if used && m.open == 0 && m.leavingSince.IsZero() {
				p.openFirst(m)
			}
		}
	})
}

// openFirst opens a connection to a member that has none. Where others own the connections, it
// opens a stream to an owner, until the member was reached once.
func (p *Pools) openFirst(m *memberPool) {
	switch {
	case m.remote || m.standby:
		if m.answeredAt.IsZero() {
			p.reachRemote(m)
		}
	case m.answeredAt.IsZero() || len(m.forwarders) == 0:
		p.dialMore(m, p.ownership.Load().largestOwned(p.Self.Name, m.server.FailureDomain))
	}
}
