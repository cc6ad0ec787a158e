package ctgateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// Caller is a caller's connection, apart from its encoding.
type Caller interface {
	// ReadStartup reads the first message: which database is asked for. It returns an
	// error of kind cterror.Invalid where it can't be read.
	ReadStartup(deadline time.Time) (ctid.Database, error)
	// RefuseStartup answers the first message with a fault.
	RefuseStartup(fault ctquery.Fault, text string) error
	// AcceptStartup answers the first message.
	AcceptStartup() error
	// ReadQuery reads the next query. The error wraps os.ErrDeadlineExceeded where the
	// deadline passes first, and io.EOF where the caller ends the session. A
	// query that can't be read has no statement.
	ReadQuery(deadline time.Time) (ctquery.Query, error)
	// Interrupt makes Next return at once, unless a message has begun to arrive.
	Interrupt()
	// WriteAnswer writes an answer.
	WriteAnswer(answer ctquery.Answer) error
	Close()
}

// Options are the parts and settings of a Gateway.
type Options struct {
	FailureDomain ctid.FailureDomain
	State         *ctstate.State
	Pools         *ctpools.Pools
	// NewCaller makes a caller of a connection.
	NewCaller func(socket net.Conn) Caller
	Clock     ctclock.Clock
	Logger    zerolog.Logger
	Metrics   *ctmetric.Metrics
	// TriggerReport makes the next report to control go out at once.
	TriggerReport func()
}

// Gateway serves callers.
type Gateway struct {
	Options

	groups      cttable.Table[ctid.Group, groupState]
	sessions    cttable.Table[ctid.Session, session]
	lastSession atomic.Uint64
	draining    atomic.Bool
	// primariesReached reports that this run of the proxy has reached the primaries of all
	// groups in use.
	primariesReached atomic.Bool
	// openConns counts the sessions, also those that begin while others end.
	openConns atomic.Int64
}

// New returns a gateway that serves nobody yet.
func New(options Options) *Gateway {
	return &Gateway{
		Options:  options,
		groups:   cttable.Table[ctid.Group, groupState]{Rank: ctlock.RankGroups},
		sessions: cttable.Table[ctid.Session, session]{Rank: ctlock.RankSessions},
	}
}

// ApplyView takes a newer view.
func (g *Gateway) ApplyView(held *ctlock.Held, view *ctview.View) {
	g.Pools.ApplyView(held, view)
	g.maintainConnections(held, g.groupsInUse(held, view))
	if g.enforceFences(held, view) {
		g.TriggerReport()
	}
}

// drainPollInterval is the time between two looks whether all sessions have ended.
const drainPollInterval = 50 * time.Millisecond

// maintenanceInterval is the time between two rounds of upkeep.
const maintenanceInterval = 200 * time.Millisecond

// Run keeps connections and samples until ctx ends.
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
		if g.enforceFences(&held, g.State.View(&held)) {
			g.TriggerReport()
		}
	}
}

// maintainConnections keeps connections to the members of the groups in use.
func (g *Gateway) maintainConnections(held *ctlock.Held, used []ctview.Group) {
	var names ctset.Set[ctid.Group]
	for _, group := range used {
		names.Add(group.Name)
	}
	g.Pools.Maintain(held, names)
}

// recordPrimariesReached notes when all primaries in use have been reached for the first time.
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

// Serve serves the callers of a listener until it is closed.
func (g *Gateway) Serve(listener net.Listener) error {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return err
		}
		g.ServeConn(socket)
	}
}

// ServeConn serves the caller of one connection in the background.
func (g *Gateway) ServeConn(socket net.Conn) {
	g.openConns.Add(1)
	go func() {
		defer g.openConns.Add(-1)
		g.serve(socket)
	}()
}

// authorityGrace is how long a proxy's authority may be over before it sends callers
// away: control may only be electing a leader.
const authorityGrace = 600 * time.Millisecond

// Ready reports whether callers should come here.
func (g *Gateway) Ready(held *ctlock.Held) bool {
	return !g.draining.Load() && g.State.View(held).Config.Revision > 0 && !g.authorityLapsed(held) && !g.State.ConfigOutdated(held)
}

// authorityLapsed reports whether the proxy has had no authority for so long that callers
// are better served by another one: it may be cut off from control alone.
func (g *Gateway) authorityLapsed(held *ctlock.Held) bool {
	return !g.Clock.Now().Before(g.State.AuthorityExpiry(held).Add(authorityGrace))
}

// MarkUnready makes the proxy count as unready; callers that come all the same are
// still served.
func (g *Gateway) MarkUnready() {
	g.draining.Store(true)
}

// Drain ends the sessions that rest, and those that come to rest, and waits for
// the others until ctx ends. It reports whether all have ended.
func (g *Gateway) Drain(ctx context.Context) bool {
	g.draining.Store(true)
	for {
		g.closeIdleSessions()
		if g.openConns.Load() == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-g.Clock.After(drainPollInterval):
		}
	}
}

// closeIdleSessions makes the sessions that rest end.
func (g *Gateway) closeIdleSessions() {
	var held ctlock.Held
	g.sessions.With(&held, func(sessions map[ctid.Session]*session) {
		for _, s := range sessions {
			s.closeWhenIdle.Store(true)
			s.caller.Interrupt()
		}
	})
}

// DisconnectAll closes the connections of all callers.
func (g *Gateway) DisconnectAll() {
	var held ctlock.Held
	g.sessions.With(&held, func(sessions map[ctid.Session]*session) {
		for _, s := range sessions {
			s.caller.Close()
		}
	})
}
