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

// ApplyView takes a newer view: members that are new, gone or leave, and the share
// of their connections that this proxy may use.
func (p *Pools) ApplyView(held *ctlock.Held, view *ctview.View) {
	now := p.Clock.Now()
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
			p.updateMember(m, now, server, p.shareOf(view, server))
		}
	})
}

// connectionShare is what a proxy has of a member's connections: a number of its own, or the
// proxies that carry queries for it.
type connectionShare struct {
	limit      int
	forwarders []netip.AddrPort
}

// minShare is how many connections each proxy needs of a member at least to
// hold some of its own.
const minShare = 2

// shareOf returns this proxy's part of a member's connections. Where they suffice
// all proxies hold a share. Otherwise those of the member's failure domain do,
// and carry queries for the others: they lose the member only together with it.
func (p *Pools) shareOf(view *ctview.View, server ctserver.Announcement) connectionShare {
	connections := server.Connections - reservedForControl
	share := connections / max(1, len(view.Proxies))
	domainProxies := view.ProxiesOf(server.FailureDomain)
	if share >= minShare || p.Transport == nil || len(domainProxies) == 0 {
		return connectionShare{limit: max(1, share)}
	}
	if p.Self.FailureDomain == server.FailureDomain {
		return connectionShare{limit: max(1, connections/len(domainProxies))}
	}
	return connectionShare{limit: maxForwardStreams, forwarders: p.forwarders(view, domainProxies)}
}

// forwarders lists the proxies of a failure domain that stay, beginning at a place
// of this proxy's own, so that all are used alike.
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

// OwnsConnections reports whether this proxy has connections of its own to a member.
func (p *Pools) OwnsConnections(held *ctlock.Held, name ctid.Member) bool {
	owns := false
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[name]
		owns = ok && len(m.forwarders) == 0
	})
	return owns
}

func (p *Pools) updateMember(m *memberPool, now time.Time, server ctserver.Announcement, share connectionShare) {
	if (len(share.forwarders) > 0) != (len(m.forwarders) > 0) {
		for _, c := range m.idle {
			c.close()
		}
		m.open -= len(m.idle)
		m.idle = nil
	}
	m.forwarders = share.forwarders
	limit := share.limit
	m.server = server
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

// shutDown closes the connections that rest and sends away those who wait.
func (m *memberPool) shutDown() {
	for _, c := range m.idle {
		c.close()
	}
	for _, w := range m.waiters {
		close(w.ready)
	}
	m.idle, m.waiters = nil, nil
}

// Maintain opens a connection to each member of the groups in use that has none, so
// that the first request need not wait for one (ways to other proxies only once:
// they cost the member nothing), and closes those that were not needed lately: a
// member counts them for a while after a proxy has lost its power, and the next
// run of the proxy needs the room.
func (p *Pools) Maintain(held *ctlock.Held, usedGroups ctset.Set[ctid.Group]) {
	idleBefore := p.Clock.Now().Add(-surplusIdleTimeout)
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		for _, m := range members {
			m.closeBroken()
			minOpen := 0
			if usedGroups.Has(m.server.Group) {
				minOpen = 1
			}
			for m.open > minOpen && len(m.idle) > 0 && m.idle[0].acquiredAt.Before(idleBefore) {
				m.idle[0].close()
				m.idle = m.idle[1:]
				m.open--
			}
			mayDial := m.answeredAt.IsZero() || len(m.forwarders) == 0
			if m.open < minOpen && m.leavingSince.IsZero() && mayDial {
				p.dialMore(m)
			}
		}
	})
}
