package ctpools

import (
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// executor runs queries on a member, either over a connection that this proxy owns
// or over a stream to a proxy that forwards them.
type executor interface {
	run(state *ctdialog.State, query ctquery.Query, limits Limits) (ctquery.Answer, error)
	// matches reports whether a query of the session can run without setting the
	// session's values first.
	matches(state *ctdialog.State) bool
	// alive reports whether another query may be run.
	alive() bool
	// unsettled reports whether settle has something to do. settle makes sure that the last
	// answer belongs to its query, if that was not done before it was returned. After an error,
	// the connection must be closed.
	unsettled() bool
	settle(limits Limits) error
	close()
	// holdsLargeState reports whether the connection retains too much of a session's state to be
	// kept without that session.
	holdsLargeState() bool
	// closedInDoubt reports whether the connection was closed because an answer was in doubt.
	closedInDoubt() bool
}

// Limits bound one query.
type Limits struct {
	// SendDeadline is the time by which a forwarded query must have been sent to the
	// member. Queries over own connections ignore it. Deadline is the time by which
	// the answer must arrive.
	SendDeadline time.Time
	Deadline     time.Time
	// Abandoned ends the wait for the answer when it is closed, as the deadline does. If
	// it is nil, nothing but the deadline ends the wait.
	Abandoned <-chan struct{}
	// Priority orders a forwarded query among those that wait for a connection.
	Priority Priority
	// Operation reports whether a forwarded query starts an operation.
	Operation bool
}

// errAbandoned returns the error of a query that was abandoned.
func errAbandoned() error {
	return cterror.New(cterror.Expired, "this proxy stops and waits no longer for the member", "use another proxy")
}

// errNotSent returns the error of a query that was not sent, because the connection could
// not be used any more.
func errNotSent() error {
	return cterror.New(cterror.Exhausted, "the connection to the member can't be used any more", "use another one")
}

// ErrRateLimited returns the error of kind cterror.RateLimited for an operation that did not start,
// because the limit of its workspace is reached.
func ErrRateLimited() error {
	return cterror.New(cterror.RateLimited, "the rate limit of the workspace is reached", "send less, or raise the limit")
}

// errInDoubt returns the error of a query whose answer may be that of another one.
func errInDoubt() error {
	return cterror.New(cterror.Unavailable, "the member's answer does not belong to the query", "try another member")
}

// TooLarge returns the answer to a query that can't be sent on any connection.
func TooLarge() ctquery.Answer {
	return ctquery.Answer{
		Fault: ctquery.FaultTooLarge, Text: "the message to the member would be over 1 MiB; nothing was sent",
	}
}

// Conn is a pooled connection to a member. It belongs to one user at a time, from
// Acquire to Release.
type Conn struct {
	Member ctid.Member

	// incarnation is the run of the member's process that the connection leads to.
	incarnation ctid.Incarnation
	executor    executor
	// acquiredAt is when a user last acquired the connection; zero if none has.
	acquiredAt time.Time
	// workspace is the one that the connection serves; empty if it serves any.
	workspace ctid.Workspace
	// counted reports whether the user's operation counts toward the limit of the workspace,
	// and countedAt since when.
	counted   bool
	countedAt time.Time
	// pools is set for connections to members, whose statements in flight are counted. inFlight
	// reports whether one is.
	pools    *Pools
	inFlight bool
	// peer is the proxy at the other end of a stream of peerStreams; invalid for others.
	peer netip.AddrPort
}

func newConn(server ctserver.Announcement, e executor) *Conn {
	return &Conn{Member: server.Member, incarnation: server.Incarnation, executor: e}
}

// Run runs a query with a session's state and waits for its answer. A nil state
// leaves the connection's state as it is, for queries that depend on none. If the query can't
// be sent on any connection, Run returns an error of kind cterror.Invalid, and if the limit of
// its workspace is reached, one of kind cterror.RateLimited; the connection can still be used
// then. If the query was not sent, Run returns an error of kind
// cterror.Exhausted. If no answer arrives that belongs to the query, it returns one of kind
// cterror.Expired after the deadline or once the query is abandoned, else of kind
// cterror.Unavailable. The connection can't be used after these errors.
func (c *Conn) Run(state *ctdialog.State, query ctquery.Query, limits Limits) (ctquery.Answer, error) {
	if c.pools == nil {
		return c.executor.run(state, query, limits)
	}
	return c.pools.runMeasured(c, state, query, limits)
}

// Alive reports whether the connection is open and no answer is outstanding.
func (c *Conn) Alive() bool {
	return c.executor.alive()
}

// Close closes a connection that belongs to no pool. Pooled ones are released instead.
func (c *Conn) Close() {
	c.close()
}

func (c *Conn) close() {
	c.executor.close()
}
