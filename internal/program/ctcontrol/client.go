package ctcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
)

// queryTimeout bounds a command whose context has no deadline.
const queryTimeout = time.Second

// PersistentClient is a MemberClient that reuses one connection for each member. A command
// that changes the member has a new connection: what it returns decides which commits are
// kept, and nothing that was received before can be taken for its answer.
type PersistentClient struct {
	Opener ctpools.Opener
	// DecodeStatus decodes a member's answer to a command.
	DecodeStatus func(answer ctquery.Answer) (ctquery.Status, error)

	mutex sync.Mutex
	conns map[ctid.Member]*ctpools.Conn
}

// Call sends a command to a member and returns the member's status. It dials again if a
// reused connection fails.
func (p *PersistentClient) Call(
	ctx context.Context, server ctserver.Announcement, command ctsuccession.Command,
) (ctquery.Status, error) {
	if conn := p.acquire(server.Member); conn != nil {
		if _, probes := command.(ctsuccession.Probe); probes && conn.Alive() {
			status, err := p.callOver(ctx, conn, server.Member, command)
			if err == nil || ctx.Err() != nil {
				return status, err
			}
			// The member may have restarted since the connection was last used.
		}
		conn.Close()
	}
	conn, err := p.Opener.Open(ctx, server)
	if err != nil {
		return ctquery.Status{}, err
	}
	return p.callOver(ctx, conn, server.Member, command)
}

// callOver sends a command over a connection, which it then keeps for reuse. It closes the
// connection if no answer arrives that belongs to the command.
func (p *PersistentClient) callOver(
	ctx context.Context, conn *ctpools.Conn, member ctid.Member, command ctsuccession.Command,
) (ctquery.Status, error) {
	timeout := queryTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	limits := ctpools.Limits{Deadline: p.Opener.Clock.Now().Add(timeout), Abandoned: ctx.Done()}
	answer, err := conn.Run(nil, ctquery.Query{Statement: statementOf(command)}, limits)
	if err != nil {
		conn.Close()
		return ctquery.Status{}, err
	}
	p.release(member, conn)
	return p.DecodeStatus(answer)
}

func statementOf(command ctsuccession.Command) ctquery.Statement {
	switch c := command.(type) {
	case ctsuccession.Pause:
		return ctquery.Pause{Term: c.Fence}
	case ctsuccession.Resume:
		return ctquery.Resume{}
	case ctsuccession.StepDown:
		return ctquery.StepDown{Term: c.Fence}
	}
	return ctquery.ReadStatus{}
}

// acquire removes the idle connection to a member from the client. It returns nil if there
// is none. The caller owns the connection until it closes or releases it.
func (p *PersistentClient) acquire(member ctid.Member) *ctpools.Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conn := p.conns[member]
	delete(p.conns, member)
	return conn
}

// release stores a connection for reuse. It closes an idle one that it replaces.
func (p *PersistentClient) release(member ctid.Member, conn *ctpools.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conns == nil {
		p.conns = make(map[ctid.Member]*ctpools.Conn)
	}
	if previous, ok := p.conns[member]; ok {
		previous.Close()
	}
	p.conns[member] = conn
}
