package ctpools

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Follow takes a newer view: members that are new, gone or leave, and the share
// of their connections that this proxy may use.
func (p *Pools) Follow(held *ctlock.Held, view *ctview.View) {
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
			p.update(r, now, server, share(server.Connections, len(view.Proxies)))
		}
	})
}

// share returns how many connections one of a number of proxies may have.
func share(connections, proxies int) int {
	return max(1, (connections-controlConnections)/max(1, proxies))
}

func (p *Pools) update(r *row, now time.Time, server ctserver.Announcement, limit int) {
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

// Tend opens a connection to each member that has none, so that the first
// request need not wait for one, and closes those that were not needed lately: a
// member counts them for a while after a proxy has lost its power, and the next
// run of the proxy needs the room.
func (p *Pools) Tend(held *ctlock.Held) {
	unused := p.Clock.Now().Add(-surplusTime)
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		for _, r := range rows {
			r.dropBroken()
			for r.open > 1 && len(r.idle) > 0 && r.idle[0].used.Before(unused) {
				r.idle[0].close()
				r.idle = r.idle[1:]
				r.open--
			}
			if r.open == 0 && r.leaving.IsZero() {
				p.grow(r)
			}
		}
	})
}
