package ctpools

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// MemberState is what a proxy knows of a member.
type MemberState struct {
	Server       ctserver.Announcement
	LeavingSince time.Time
	Load         ctplace.Latency
	Running      int
	Free         int
	Applied      ctposition.Point
	AvoidUntil   time.Time
}

// Member returns what is known of a member.
func (p *Pools) Member(held *ctlock.Held, name ctid.Member) (MemberState, bool) {
	var member MemberState
	found := false
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		r, ok := rows[name]
		if !ok {
			return
		}
		found = true
		member = MemberState{
			Server: r.server, LeavingSince: r.leaving, Load: r.load, Running: r.running, Applied: r.applied, AvoidUntil: r.avoid,
			Free: max(0, len(r.idle)+r.limit-r.open-len(r.waiters)),
		}
		if p.Clock.Now().Before(r.dialAt) && len(r.idle) == 0 && r.open == 0 {
			member.AvoidUntil = r.dialAt
		}
	})
	return member, found
}

// EverReached reports whether a member was reached since this proxy started.
func (p *Pools) EverReached(held *ctlock.Held, name ctid.Member) bool {
	met := false
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		r, ok := rows[name]
		met = ok && !r.answered.IsZero()
	})
	return met
}

// Reachability tells what a proxy sees of a member.
type Reachability uint8

// What a proxy may see.
const (
	ReachabilityUnknown Reachability = iota
	Reachable
	Unreachable
)

// Reachability tells whether a member answers.
func (p *Pools) Reachability(held *ctlock.Held, name ctid.Member) Reachability {
	sight := ReachabilityUnknown
	p.rows.With(held, func(rows map[ctid.Member]*row) {
		r, ok := rows[name]
		if !ok {
			return
		}
		now := p.Clock.Now()
		silent := !r.asked.IsZero() && now.Sub(r.asked) > silentTime && now.Sub(r.answered) > silentTime
		switch {
		case r.failures > 1 && r.open == 0, silent:
			sight = Unreachable
		case now.Sub(r.answered) < reachTime:
			sight = Reachable
		}
	})
	return sight
}
