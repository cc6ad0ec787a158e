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
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[name]
		if !ok {
			return
		}
		found = true
		member = MemberState{
			Server: m.server, LeavingSince: m.leavingSince, Load: m.latency, Running: m.running,
			Applied: m.applied, AvoidUntil: m.avoidUntil,
			Free: max(0, len(m.idle)+m.limit-m.open-len(m.waiters)),
		}
		if p.Clock.Now().Before(m.nextDialAt) && len(m.idle) == 0 && m.open == 0 {
			member.AvoidUntil = m.nextDialAt
		}
	})
	return member, found
}

// EverReached reports whether a member was reached since this proxy started.
func (p *Pools) EverReached(held *ctlock.Held, name ctid.Member) bool {
	reached := false
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[name]
		reached = ok && !m.answeredAt.IsZero()
	})
	return reached
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
	reachability := ReachabilityUnknown
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[name]
		if !ok {
			return
		}
		now := p.Clock.Now()
		timedOut := !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) > unansweredTimeout &&
			now.Sub(m.answeredAt) > unansweredTimeout
		switch {
		case m.failures > 1 && m.open == 0, timedOut:
			reachability = Unreachable
		case now.Sub(m.answeredAt) < reachableTTL:
			reachability = Reachable
		}
	})
	return reachability
}
