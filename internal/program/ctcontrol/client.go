package ctcontrol

import (
	"context"
	"sync"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
)

// PersistentClient is a MemberClient that reuses one connection for each member.
type PersistentClient struct {
	Dialer ctpools.Dialer
	// DecodeStatus decodes a member's answer to a command.
	DecodeStatus func(answer ctquery.Answer) (ctquery.Status, error)

	mutex sync.Mutex
	conns map[ctid.Member]ctpools.RawConn
}

// Call sends a command to a member and returns the member's status. It dials again if a
// reused connection fails.
func (p *PersistentClient) Call(
	ctx context.Context, server ctserver.Announcement, command ctsuccession.Command,
) (ctquery.Status, error) {
	conn, reused, err := p.acquire(ctx, server)
	if err != nil {
		return ctquery.Status{}, err
	}
	answer, err := roundTrip(ctx, conn, command)
	if err != nil && reused && ctx.Err() == nil {
		// The member may have restarted since the connection was last used.
		conn.Close()
		if conn, err = p.Dialer.Dial(ctx, server); err != nil {
			return ctquery.Status{}, err
		}
		answer, err = roundTrip(ctx, conn, command)
	}
	if err != nil {
		conn.Close()
		return ctquery.Status{}, err
	}
	p.release(server.Member, conn)
	return p.DecodeStatus(answer)
}

func roundTrip(ctx context.Context, conn ctpools.RawConn, command ctsuccession.Command) (ctquery.Answer, error) {
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	if err := conn.Send([]ctquery.Query{{Statement: statementOf(command)}}); err != nil {
		return ctquery.Answer{}, err
	}
	return conn.Receive()
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

// acquire removes the idle connection to a member from the client, or dials one if there
// is none. The caller owns the connection until it closes or releases it.
func (p *PersistentClient) acquire(
	ctx context.Context, server ctserver.Announcement,
) (conn ctpools.RawConn, reused bool, err error) {
	p.mutex.Lock()
	conn, reused = p.conns[server.Member]
	delete(p.conns, server.Member)
	p.mutex.Unlock()
	if reused {
		return conn, true, nil
	}
	conn, err = p.Dialer.Dial(ctx, server)
	return conn, false, err
}

// release stores a connection for reuse. It closes an idle one that it replaces.
func (p *PersistentClient) release(member ctid.Member, conn ctpools.RawConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conns == nil {
		p.conns = make(map[ctid.Member]ctpools.RawConn)
	}
	if previous, ok := p.conns[member]; ok {
		previous.Close()
	}
	p.conns[member] = conn
}
