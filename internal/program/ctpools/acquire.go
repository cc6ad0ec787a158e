package ctpools

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmission"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Priority orders the requests that wait for a connection.
type Priority = ctadmission.Priority

// AcquireOptions says which connection a request prefers and how it waits for one.
type AcquireOptions struct {
	// State is the session's state. Acquire prefers a connection that has its values
	// already. It is nil if the request depends on no state.
	State *ctdialog.State
	// Workspace is the one whose query the connection is to run. AnyWorkspace is set for
	// status queries of the system's own, which may use the connection of any workspace.
	Workspace    ctid.Workspace
	AnyWorkspace bool
	// Operation reports whether the query starts an operation, which counts toward the limit
	// of its workspace.
	Operation bool
	// Priority orders the requests that wait.
	Priority Priority
	// Deadline is the time until which the request waits for a connection.
	Deadline time.Time
}

// Acquire returns a connection to a member, if possible one that has the session's
// values. The caller returns it with Release. The error is of kind
// cterror.Exhausted if no connection became free in time, cterror.Unavailable if
// none can be opened, and cterror.RateLimited if the limit of the workspace is reached.
func (p *Pools) Acquire(held *ctlock.Held, name ctid.Member, options AcquireOptions) (*Conn, error) {
	if o := p.ownership.Load(); o != nil {
		return p.acquireByOwner(held, o, name, options)
	}
	return p.acquireOwn(held, name, options)
}

// acquireOwn is Acquire for this proxy's own connections and, where they serve callers of any
// workspace, for its streams. It counts an operation first.
func (p *Pools) acquireOwn(held *ctlock.Held, name ctid.Member, options AcquireOptions) (*Conn, error) {
	counted := options.Operation && p.Quotas != nil && options.Workspace != ""
	if counted {
		if err := p.Quotas.Admit(held, options.Workspace, options.Deadline); err != nil {
			return nil, err
		}
	}
	conn, err := p.takeConn(held, name, options)
	switch {
	case !counted:
		return conn, err
	case err != nil:
		p.Quotas.Cancel(held, options.Workspace)
		return nil, err
	}
	if conn.countedAt, err = p.Quotas.Start(held, options.Workspace); err != nil {
		p.Release(held, conn, Result{})
		return nil, err
	}
	conn.counted = true
	return conn, nil
}

// takeConn takes an idle connection, or waits for one. It rejects a request at once that is not
// expected to get one in time.
func (p *Pools) takeConn(held *ctlock.Held, name ctid.Member, options AcquireOptions) (*Conn, error) {
	var conn *Conn
	var ready chan *Conn
	var ticket ctadmission.Ticket
	var tooLate error
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		m, ok := members[name]
		if !ok {
			return
		}
		now := p.Clock.Now()
		r := ctadmission.Request{
			Priority: options.Priority, Workspace: options.Workspace, AnyWorkspace: options.AnyWorkspace,
			AddedAt: now, Deadline: options.Deadline,
		}
		admitted := m.admits(now, &r)
		if admitted {
			conn = m.popIdle(options.State, &r)
		}
		if conn != nil {
			p.markAcquired(m, conn)
			return
		}
		// A request that the limit of statements holds back needs no other connection, but must
		// find one on the way.
		if admitted || m.open == 0 {
			p.dialMore(m, options.Workspace)
		}
		if tooLate = p.rejectLate(m, now, r); m.open > 0 && tooLate == nil {
			ready = make(chan *Conn, 1)
			ticket = m.enqueue(r, ready)
			p.scheduleWake(m, now)
		}
	})
	switch {
	case conn != nil:
		return conn, nil
	case tooLate != nil:
		return nil, tooLate
	case ready == nil:
		return nil, cterror.New(cterror.Unavailable, "no connection to the member can be opened", "try another member")
	}
	return p.awaitConn(held, name, ready, ticket, options.Deadline)
}

// awaitConn waits until a connection is opened or released for the request with the
// channel ready. It returns the errors of Acquire.
func (p *Pools) awaitConn(
	held *ctlock.Held, name ctid.Member, ready chan *Conn, ticket ctadmission.Ticket, deadline time.Time,
) (*Conn, error) {
	timer := time.NewTimer(deadline.Sub(p.Clock.Now()))
	defer timer.Stop()
	select {
	case conn, ok := <-ready:
		if !ok {
			return nil, cterror.New(cterror.Unavailable, "no connection to the member can be opened", "try another member")
		}
		return conn, nil
	case <-timer.C:
	case <-p.Stop.Abandoned():
	}
	p.members.With(held, func(members map[ctid.Member]*memberPool) {
		if m, ok := members[name]; ok && m.ready[ticket] == ready {
			m.queue.Remove(ticket)
			delete(m.ready, ticket)
		}
	})
	select {
	case conn, ok := <-ready:
		if ok {
			return conn, nil
		}
	default:
	}
	p.countRefusal(name, refusedAfterWait)
	return nil, cterror.New(cterror.Exhausted, "no connection to the member became free in time", "try again soon")
}

// markAcquired records that a user gets the connection.
func (p *Pools) markAcquired(m *memberPool, conn *Conn) {
	conn.acquiredAt = p.Clock.Now()
	m.running++
	m.startStatement(conn)
	if m.unansweredSince.IsZero() {
		m.unansweredSince = conn.acquiredAt
	}
}
