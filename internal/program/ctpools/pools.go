package ctpools

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctstop"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// Limits of the pools: opening, idling and sharing of connections.
const (
	// dialTimeout bounds the opening of a connection to a member.
	dialTimeout = time.Second
	// streamOpenTimeout bounds the opening of a stream to a forwarding proxy.
	streamOpenTimeout = 300 * time.Millisecond
	// unansweredTimeout is how long a member may leave all queries unanswered before
	// it counts as unreachable.
	unansweredTimeout = 500 * time.Millisecond
	// reachableTTL is how long a member counts as reachable after an answer.
	reachableTTL = 800 * time.Millisecond
	// surplusIdleTimeout is how long after it was last acquired an idle connection may
	// stay open before Maintain closes it. One connection to each member of a group in
	// use is exempt.
	surplusIdleTimeout = 3 * time.Second
	// slotsPerDial sets how many connections a proxy opens to a member at the same
	// time: one for this many of the member's slots.
	slotsPerDial = 2
	// concurrentStreamOpens is how many streams to forwarding proxies are opened at the
	// same time, and maxForwardStreams is how many a proxy has for one member.
	concurrentStreamOpens = 4
	maxForwardStreams     = 16
	// settleTimeout bounds the confirmation of an answer after its connection was released.
	settleTimeout = time.Second
	// reservedForControl is how many of a member's connections the proxies leave to
	// control.
	reservedForControl = 4
)

// Dialer opens connections to members. An attempt ends with an error when ctx ends.
type Dialer interface {
	// Dial opens a connection that serves a workspace, or callers without one.
	Dial(ctx context.Context, server ctserver.Announcement, workspace ctid.Workspace) (RawConn, error)
}

// Quotas limits how many operations of each workspace start.
type Quotas interface {
	// Admit reserves room for an operation of a workspace. If the workspace's limit is
	// reached, it returns an error of kind cterror.RateLimited. It may wait until deadline
	// to learn this proxy's share of the limit, and returns an error of kind
	// cterror.Exhausted if there is none by then. Start or Cancel must follow.
	Admit(held *ctlock.Held, workspace ctid.Workspace, deadline time.Time) error
	// Start counts an admitted operation that starts now, after it has waited for a
	// connection, and returns the time. It returns the errors of Admit if this proxy's
	// share does not allow the operation any more; there is no reservation then.
	Start(held *ctlock.Held, workspace ctid.Workspace) (time.Time, error)
	// Cancel gives up the reservation of an operation that does not start.
	Cancel(held *ctlock.Held, workspace ctid.Workspace)
	// Refund takes back the operation that Start counted at a time, because it did not run.
	Refund(held *ctlock.Held, workspace ctid.Workspace, startedAt time.Time)
}

// Pools holds a proxy's connections to all members. Its exported fields are set
// before use. Its methods may be called from several goroutines.
type Pools struct {
	Dialer Dialer
	Clock  ctclock.Clock
	Logger zerolog.Logger
	// Self describes this proxy. Transport opens the streams to the proxies that
	// forward queries to members with too few connections for all proxies. Without
	// a Transport, each proxy has connections of its own to every member.
	Self      ctview.Proxy
	Transport ctframe.Transport
	// Stop says how far the process's planned stop has come.
	Stop ctstop.Stop
	// Metrics is nil if nothing is counted.
	Metrics *ctmetric.Metrics
	// Policy says how members are selected; nil stands for ctplace.Balanced if the configuration
	// requires keys, and else for ctplace.ByLatency.
	Policy ctplace.Policy
	// Quotas is nil if workspaces have no limits.
	Quotas Quotas
	// Random spreads the retries of proxies over time.
	Random ctretry.Random
	// startedAt is when the pools were made.
	startedAt time.Time

	// connectionCount numbers the connections to members.
	connectionCount atomic.Uint64

	served         servedStreams
	forwardedCount atomic.Int64
	// answeringCount counts the queries of other proxies that have been read and not
	// answered yet.
	answeringCount atomic.Int64
	members        cttable.Table[ctid.Member, memberPool]
	peers          cttable.Table[netip.AddrPort, peerStreams]
	// balanced reports whether the policy in force is ctplace.Balanced.
	balanced atomic.Bool
	// ownership says which proxies open the connections of each workspace. It is nil while
	// connections serve callers of any workspace.
	ownership atomic.Pointer[ownership]
	// firstViewAt is when the first view was applied; nil before.
	firstViewAt atomic.Pointer[time.Time]
	// membersKnown is closed once a view with members was applied.
	membersKnown     chan struct{}
	membersKnownOnce sync.Once
}

// New returns pools without members; ApplyView adds them. The transport is nil if
// every proxy opens its own connections.
func New(
	dialer Dialer, self ctview.Proxy, transport ctframe.Transport, clock ctclock.Clock, logger zerolog.Logger,
) *Pools {
	return &Pools{
		Dialer: dialer, Self: self, Transport: transport, Clock: clock, Logger: logger,
		Random: systemRandom{}, startedAt: clock.Now(),
		members: cttable.Table[ctid.Member, memberPool]{Rank: ctlock.RankMembers},
		peers:   cttable.Table[netip.AddrPort, peerStreams]{Rank: ctlock.RankPeers},

		membersKnown: make(chan struct{}),
	}
}

// Avoid marks a member to be tried last until the given time. An earlier time than
// the one in force has no effect.
func (p *Pools) Avoid(held *ctlock.Held, name ctid.Member, until time.Time) {
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok && until.After(m.avoidUntil) {
			m.avoidUntil = until
		}
	})
}

func (p *Pools) logLimit(name ctid.Member, limit int) {
	ctlog.Decision(&p.Logger, "share").Str("member", string(name)).Int("connections", limit).Send()
}
