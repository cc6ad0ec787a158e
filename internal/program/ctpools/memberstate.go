package ctpools

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// MemberState is what this proxy knows of a member.
type MemberState struct {
	Server ctserver.Announcement
	// LeavingSince is when a view first showed that the member leaves; zero while it
	// stays.
	LeavingSince time.Time
	// Latency is the moving mean of the member's recent response times.
	Latency ctplace.Latency
	// Hint is the load that a forwarding proxy reported last, and Standing what follows from
	// the outcomes of requests.
	Hint     ctplace.Hint
	Standing ctplace.Standing
	// Running counts the connections in use. Free counts those that are idle or may be
	// opened, less the requests that wait for one.
	Running int
	Free    int
	// Applied is the point that the member's last answer reported.
	Applied ctposition.Point
	// AvoidUntil is until when the member is tried last.
	AvoidUntil time.Time
}

// Member returns the state of a member. It returns false if the view has no such
// member.
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
			Server: m.server, LeavingSince: m.leavingSince, Latency: m.latency, Running: m.running,
			Applied: m.applied, AvoidUntil: m.avoidUntil, Hint: m.hint, Standing: m.outcomes.Standing(p.Clock.Now()),
			Free: max(0, len(m.idle)+m.limit-m.open-m.queue.Len()),
		}
		if m.remote {
			// Streams to the owners are opened on demand.
			member.Free = 1
		}
		now := p.Clock.Now()
		if now.Before(m.opening.NextAt()) && len(m.idle) == 0 && m.open == 0 {
			member.AvoidUntil = m.opening.NextAt()
		}
		if pausedUntil := m.statements.PausedUntil(); pausedUntil.After(member.AvoidUntil) {
			member.AvoidUntil = pausedUntil
		}
	})
	return member, found
}

// EverReached reports whether this proxy has opened a connection to the member's
// current process, or a stream to a proxy that forwards to it.
func (p *Pools) EverReached(held *ctlock.Held, name ctid.Member) bool {
	reached := false
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[name]
		reached = ok && !m.answeredAt.IsZero()
	})
	return reached
}

// Reachability says whether a member answers this proxy.
type Reachability uint8

// ReachabilityUnknown means that there is neither a recent answer nor a sign of a
// failure.
const (
	ReachabilityUnknown Reachability = iota
	Reachable
	Unreachable
)

// Reachability reports whether a member answered lately. A member is unreachable if
// repeated attempts to connect failed, or if queries have gone unanswered too long.
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
		case m.opening.Failures() > 1 && m.open == 0, timedOut:
			reachability = Unreachable
		case now.Sub(m.answeredAt) < reachableTTL:
			reachability = Reachable
		}
	})
	return reachability
}
