package ctpools

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Member is what a proxy knows of a member.
type Member struct {
	Server  ctserver.Announcement
	Leaving time.Time
	Load    ctplace.Latency
	Running int
	Free    int
	Applied ctposition.Point
	Avoid   time.Time
}

// Look returns what is known of a member.
func (p *Pools) Look(held *ctlock.Held, name ctid.Member) (Member, bool) {
	var member Member
	found := false
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		r, ok := rows[name]
		if !ok {
			return
		}
		found = true
		member = Member{
			Server: r.server, Leaving: r.leaving, Load: r.load, Running: r.running, Applied: r.applied, Avoid: r.avoid,
			Free: max(0, len(r.idle)+r.limit-r.open-len(r.waiters)),
		}
		if p.Clock.Now().Before(r.dialAt) && len(r.idle) == 0 && r.open == 0 {
			member.Avoid = r.dialAt
		}
	})
	return member, found
}

// Met reports whether a member was reached since this proxy started.
func (p *Pools) Met(held *ctlock.Held, name ctid.Member) bool {
	met := false
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		r, ok := rows[name]
		met = ok && !r.answered.IsZero()
	})
	return met
}

// Sight tells what a proxy sees of a member.
type Sight uint8

// What a proxy may see.
const (
	SightNone Sight = iota
	SightReached
	SightMissed
)

// See tells whether a member answers.
func (p *Pools) See(held *ctlock.Held, name ctid.Member) Sight {
	sight := SightNone
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		r, ok := rows[name]
		if !ok {
			return
		}
		now := p.Clock.Now()
		silent := !r.asked.IsZero() && now.Sub(r.asked) > silentTime && now.Sub(r.answered) > silentTime
		switch {
		case r.failures > 1 && r.open == 0, silent:
			sight = SightMissed
		case now.Sub(r.answered) < reachTime:
			sight = SightReached
		}
	})
	return sight
}
