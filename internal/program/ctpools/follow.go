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
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		for name, r := range rows {
			if _, ok := view.Members[name]; !ok {
				r.empty()
				delete(rows, name)
			}
		}
		for name, server := range view.Members {
			r, ok := rows[name]
			if !ok || r.server.Incarnation != server.Incarnation {
				if ok {
					r.empty()
				}
				r = &row{}
				rows[name] = r
			}
			p.update(r, now, server, p.divide(view, server))
		}
	})
}

// part is what a proxy has of a member's connections: a number of its own, or the
// proxies that carry queries for it.
type part struct {
	limit    int
	carriers []netip.AddrPort
}

// leastShare is how many connections each proxy needs of a member at least to
// hold some of its own.
const leastShare = 2

// divide returns this proxy's part of a member's connections. Where they suffice
// all proxies hold a share. Otherwise those of the member's failure domain do,
// and carry queries for the others: they lose the member only together with it.
func (p *Pools) divide(view *ctview.View, server ctserver.Announcement) part {
	connections := server.Connections - controlConnections
	share := connections / max(1, len(view.Proxies))
	near := view.ProxiesOf(server.FailureDomain)
	if share >= leastShare || p.Transport == nil || len(near) == 0 {
		return part{limit: max(1, share)}
	}
	if p.Self.FailureDomain == server.FailureDomain {
		return part{limit: max(1, connections/len(near))}
	}
	return part{limit: carriedLimit, carriers: p.carriers(view, near)}
}

// carriers lists the proxies of a failure domain that stay, beginning at a place
// of this proxy's own, so that all are used alike.
func (p *Pools) carriers(view *ctview.View, near []ctid.Proxy) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, name := range near {
		if proxy := view.Proxies[name]; proxy.State == ctserver.StateReady {
			addresses = append(addresses, proxy.Address)
		}
	}
	if len(addresses) == 0 {
		return []netip.AddrPort{view.Proxies[near[0]].Address}
	}
	start := int(uint64(ctpool.KeyOf(p.Self.Name)) % uint64(len(addresses)))
	return append(addresses[start:], addresses[:start]...)
}

// OwnsConnections reports whether this proxy has connections of its own to a member.
func (p *Pools) OwnsConnections(held *ctlock.Held, name ctid.Member) bool {
	holds := false
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		r, ok := rows[name]
		holds = ok && len(r.carriers) == 0
	})
	return holds
}

func (p *Pools) update(r *row, now time.Time, server ctserver.Announcement, have part) {
	if (len(have.carriers) > 0) != (len(r.carriers) > 0) {
		for _, c := range r.idle {
			c.close()
		}
		r.open -= len(r.idle)
		r.idle = nil
	}
	r.carriers = have.carriers
	limit := have.limit
	r.server = server
	switch {
	case server.State == ctserver.StateReady:
		r.leaving = time.Time{}
	case r.leaving.IsZero():
		r.leaving = now
	}
	if r.limit != limit {
		r.limit = limit
		p.logLimit(server.Member, limit)
	}
	r.dropBroken()
	for r.open > r.limit && len(r.idle) > 0 {
		r.idle[0].close()
		r.idle = r.idle[1:]
		r.open--
	}
}

// empty closes the connections that rest and sends away those who wait.
func (r *row) empty() {
	for _, c := range r.idle {
		c.close()
	}
	for _, w := range r.waiters {
		close(w.ready)
	}
	r.idle, r.waiters = nil, nil
}

// Maintain opens a connection to each member of the groups in use that has none, so
// that the first request need not wait for one (ways to other proxies only once:
// they cost the member nothing), and closes those that were not needed lately: a
// member counts them for a while after a proxy has lost its power, and the next
// run of the proxy needs the room.
func (p *Pools) Maintain(held *ctlock.Held, used ctset.Set[ctid.Group]) {
	unused := p.Clock.Now().Add(-surplusTime)
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		for _, r := range rows {
			r.dropBroken()
			kept := 0
			if used.Has(r.server.Group) {
				kept = 1
			}
			for r.open > kept && len(r.idle) > 0 && r.idle[0].used.Before(unused) {
				r.idle[0].close()
				r.idle = r.idle[1:]
				r.open--
			}
			first := r.answered.IsZero() || len(r.carriers) == 0
			if r.open < kept && r.leaving.IsZero() && first {
				p.grow(r)
			}
		}
	})
}
