package ctpools

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// executor runs queries on a member: over a connection of this proxy's own, or
// over that of another one.
type executor interface {
	run(state *ctdialog.State, query ctquery.Query, limits Limits) (ctquery.Answer, error)
	// matches reports whether the channel has the session's values already.
	matches(state *ctdialog.State) bool
	// alive reports whether the channel can be used.
	alive() bool
	close()
}

// Limits bound one query.
type Limits struct {
	// SendDeadline is until when it must have got to the member, where another proxy
	// carries it; Until is until when its answer may come.
	SendDeadline time.Time
	Deadline     time.Time
	// Priority is 0 for the most urgent queries.
	Priority int
}

// Conn is a connection to a member that is lent out to one user at a time.
type Conn struct {
	Member ctid.Member

	// incarnation is that of the member's process.
	incarnation ctid.Incarnation
	executor    executor
	// acquiredAt is when it was lent out last.
	acquiredAt time.Time
}

func newConn(server ctserver.Announcement, e executor) *Conn {
	return &Conn{Member: server.Member, incarnation: server.Incarnation, executor: e}
}

// Run runs a query with a session's state and waits for its answer. A query that
// concerns no session's state has none: nil leaves the connection's as it is. Where the
// answer is missing it returns an error of kind cterror.Unavailable, or
// cterror.Expired where the time ran out; the connection can't be used any more.
func (c *Conn) Run(state *ctdialog.State, query ctquery.Query, limits Limits) (ctquery.Answer, error) {
	return c.executor.run(state, query, limits)
}

// Alive reports whether the connection works and owes no answer.
func (c *Conn) Alive() bool {
	return c.executor.alive()
}

func (c *Conn) close() {
	c.executor.close()
}
