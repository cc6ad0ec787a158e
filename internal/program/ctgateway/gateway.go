package ctgateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// Startup is a caller's startup message.
type Startup struct {
	Database ctid.Database
	// Key is the digest of the key that the caller presents; zero if it presents none.
	Key ctid.KeyDigest
}

// Caller is a caller's connection. Its implementation hides the encoding of the
// messages.
type Caller interface {
	// ReadStartup reads the startup message. If the message can't be read, the error
	// is of kind cterror.Invalid.
	ReadStartup(deadline time.Time) (Startup, error)
	// RefuseStartup answers the startup message with a fault.
	RefuseStartup(fault ctquery.Fault, text string) error
	// AcceptStartup answers the startup message with success.
	AcceptStartup() error
	// ReadQuery reads the next query; a zero deadline means no limit. The error wraps
	// os.ErrDeadlineExceeded if the deadline passes or Interrupt is called first, and
	// io.EOF if the caller ends the session. It is of kind cterror.Invalid for a message that
	// is too long, cterror.Exhausted if the meter has no room for it, and cterror.Expired if it
	// has begun and does not end in time. The statement of a query that can't be decoded is a
	// ctquery.Malformed.
	ReadQuery(deadline time.Time) (ctquery.Query, error)
	// Interrupt makes a waiting ReadQuery return at once, unless a message has begun
	// to arrive. It may be called from another goroutine.
	Interrupt()
	// WriteAnswer sends an answer to the caller.
	WriteAnswer(answer ctquery.Answer) error
	// Close closes the connection. It may be called from another goroutine.
	Close()
}

// Meter limits what a caller's messages may hold.
type Meter interface {
	// ChargeMessage reports whether the caller may hold a message of a number of bytes, in place of
	// that of the last call. 0 means that it holds none.
	ChargeMessage(bytes int) bool
}

// Options are the dependencies and settings of a Gateway.
type Options struct {
	FailureDomain ctid.FailureDomain
	State         *ctstate.State
	Pools         *ctpools.Pools
	// NewCaller wraps an accepted connection as a Caller. The meter limits its messages.
	NewCaller func(socket net.Conn, meter Meter) Caller
	// Accounts limits the callers and what they hold; nil for no limit.
	Accounts *ctaccount.Accounts
	// DecodeStatus decodes a member's answer to ctquery.ReadStatus.
	DecodeStatus func(answer ctquery.Answer) (ctquery.Status, error)
	Clock        ctclock.Clock
	Logger       zerolog.Logger
	Metrics      *ctmetric.Metrics
	// Random returns random numbers from 0 up to 1, for the choice among members; nil stands
	// for rand.Float64.
	Random func() float64
	// TriggerReport makes the next report to control go out at once.
	TriggerReport func()
}

// Gateway serves the callers of a proxy. Its methods may be called concurrently.
type Gateway struct {
	Options

	groups      cttable.Table[ctid.Group, groupState]
	sessions    cttable.Table[ctid.Session, session]
	lastSession atomic.Uint64
	// unready reports whether MarkUnready or Drain was called.
	unready atomic.Bool
	// primariesReached reports whether this run of the proxy has reached the
	// primaries of all groups in use.
	primariesReached atomic.Bool
	// openConns counts callers' connections, including those without a session yet.
	openConns atomic.Int64
}

// New returns a gateway without callers. Run starts its work.
func New(options Options) *Gateway {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	return &Gateway{
		Options:  options,
		groups:   cttable.Table[ctid.Group, groupState]{Rank: ctlock.RankGroups},
		sessions: cttable.Table[ctid.Session, session]{Rank: ctlock.RankSessions},
	}
}

// ApplyView applies a newer view: it updates the pools and enforces the view's
// fences.
func (g *Gateway) ApplyView(held *ctlock.Held, view *ctview.View) {
	g.Pools.ApplyView(held, view)
	g.maintainConnections(held, g.groupsInUse(held, view))
	g.refreshGuards(held, g.groupsInUse(held, view))
	if g.enforceFences(held, view) {
		g.TriggerReport()
	}
}

// maintenanceInterval is the time between two rounds of Run.
const maintenanceInterval = 200 * time.Millisecond

// Run maintains the connections to members, the samples of the groups' logs and the
// fences until ctx ends. It ends idle sessions once the authority has lapsed.
func (g *Gateway) Run(ctx context.Context) {
	var held ctlock.Held
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(maintenanceInterval):
		}
		used := g.groupsInUse(&held, g.State.View(&held))
		g.maintainConnections(&held, used)
		g.recordPrimariesReached(&held, used)
		if g.primariesReached.Load() && g.authorityLapsed(&held) {
			g.closeIdleSessions()
		}
		g.refreshSamples(&held, used)
		g.refreshGuards(&held, used)
		if g.enforceFences(&held, g.State.View(&held)) {
			g.TriggerReport()
		}
	}
}

// maintainConnections opens missing connections to the members of the groups in use
// and closes connections that are no longer needed.
func (g *Gateway) maintainConnections(held *ctlock.Held, used []ctview.Group) {
	var names ctset.Set[ctid.Group]
	for _, group := range used {
		names.Add(group.Name)
	}
	g.Pools.Maintain(held, names)
}

// recordPrimariesReached sets primariesReached once the primaries of all groups in
// use have been reached.
func (g *Gateway) recordPrimariesReached(held *ctlock.Held, used []ctview.Group) {
	if g.primariesReached.Load() || len(used) == 0 {
		return
	}
	for _, group := range used {
		if !g.Pools.EverReached(held, group.Primary) {
			return
		}
	}
	g.primariesReached.Store(true)
	g.Logger.Info().Str("event", "serving").Send()
}

// ServeConn serves one caller's connection in the background and closes it in the
// end. A panic ends that connection alone.
func (g *Gateway) ServeConn(socket net.Conn) {
	g.openConns.Add(1)
	go func() {
		defer g.openConns.Add(-1)
		cttcp.Contain(ctmetric.Report(&g.Logger, g.Metrics.Panics), func() { g.serve(socket) })
	}()
}

// authorityGrace is how long a proxy waits after its authority has expired before it
// rejects callers: control may only be electing a leader.
const authorityGrace = 600 * time.Millisecond

// Ready reports whether a load balancer should send callers to this proxy.
func (g *Gateway) Ready(held *ctlock.Held) bool {
	return !g.unready.Load() && g.State.View(held).Config.Revision > 0 &&
		!g.authorityLapsed(held) && !g.State.ConfigOutdated(held)
}

// authorityLapsed reports whether the authority expired more than authorityGrace ago.
// Another proxy may then serve callers better: perhaps only this one is cut off from
// control.
func (g *Gateway) authorityLapsed(held *ctlock.Held) bool {
	return !g.Clock.Now().Before(g.State.AuthorityExpiry(held).Add(authorityGrace))
}

// MarkUnready makes Ready return false from now on. Callers that still connect are
// served.
func (g *Gateway) MarkUnready() {
	g.unready.Store(true)
}
