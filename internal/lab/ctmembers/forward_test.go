package ctmembers_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmembers"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// pipeTransport opens streams to the pools of another proxy in this process.
type pipeTransport struct {
	owner *ctpools.Pools
}

func (p pipeTransport) Open(context.Context, netip.AddrPort) (ctframe.Stream, error) {
	local, remote := net.Pipe()
	stream := cttcp.NewStream(remote)
	go func() {
		defer stream.Close()
		frame, err := stream.Read()
		if forward, ok := frame.(*ctframe.Forward); err == nil && ok {
			p.owner.ServeForwarded(stream, forward)
		}
	}()
	return cttcp.NewStream(local), nil
}

// TestForward tests a member that accepts fewer connections than there are proxies.
// Only proxies of its failure domain open connections to it; they forward the queries
// of the other proxies.
func TestForward(t *testing.T) {
	group := ctmembers.New(smallGroup)
	view := &ctview.View{}
	delta := &ctview.Delta{To: 1, Members: group.Announcements("near")}
	for i := range 12 {
		domain := ctid.FailureDomain("far")
		if i < 2 {
			domain = "near"
		}
		delta.Proxies = append(delta.Proxies, ctview.Proxy{
			Name: ctid.Proxy(fmt.Sprintf("p%02d", i)), FailureDomain: domain, Incarnation: 1, State: ctserver.StateReady,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 1),
		})
	}
	view, err := view.Apply(delta)
	assert.NilError(t, err)
	var held ctlock.Held
	clock := ctclock.System{}
	near := ctpools.New(group, delta.Proxies[0], pipeTransport{}, clock, zerolog.Nop())
	near.ApplyView(&held, view)
	far := ctpools.New(group, delta.Proxies[5], pipeTransport{owner: near}, clock, zerolog.Nop())
	far.ApplyView(&held, view)
	run := func(t *testing.T, conn *ctpools.Conn, id ctquery.ID, statement ctquery.Statement) ctquery.Answer {
		t.Helper()
		deadline := clock.Now().Add(testTimeout)
		answer, err := conn.Run(nil, ctquery.Query{ID: id, Statement: statement},
			ctpools.Limits{SendDeadline: deadline, Deadline: deadline})
		assert.NilError(t, err)
		return answer
	}
	primary := ctmembers.MemberName(0)
	acquire := func(t *testing.T) *ctpools.Conn {
		t.Helper()
		conn, err := far.Acquire(&held, primary, ctpools.AcquireOptions{Deadline: clock.Now().Add(testTimeout)})
		assert.NilError(t, err)
		return conn
	}
	t.Run("only proxies of the member's failure domain own connections", func(t *testing.T) {
		assert.Assert(t, near.OwnsConnections(&held, primary))
		assert.Assert(t, !far.OwnsConnections(&held, primary))
	})
	t.Run("a transaction stays on one connection", func(t *testing.T) {
		conn := acquire(t)
		assert.Assert(t, run(t, conn, "a-1", ctquery.Begin{}).OK())
		assert.Assert(t, run(t, conn, "a-2", ctquery.Write{Arguments: "x 1"}).OK())
		assert.Equal(t, near.ForwardedConnections(), 1)
		assert.Assert(t, run(t, conn, "a-3", ctquery.Commit{}).OK())
		assert.Equal(t, near.ForwardedConnections(), 0)
		far.Release(&held, conn, ctpools.Result{Answered: true})
		assert.Equal(t, group.WriteCounts()["a-2"], 1)
	})
	t.Run("closing a stream rolls its transaction back", func(t *testing.T) {
		conn := acquire(t)
		run(t, conn, "b-1", ctquery.Begin{})
		run(t, conn, "b-2", ctquery.Write{Arguments: "x 2"})
		far.Release(&held, conn, ctpools.Result{Discard: true})
		for near.ForwardedConnections() > 0 {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, group.WriteCounts()["b-2"], 0)
	})
	t.Run("a stopping proxy gets no more queries", func(t *testing.T) {
		conn := acquire(t)
		run(t, conn, "c-1", ctquery.Read{Item: "x"})
		near.NotifyStopping()
		for conn.Alive() {
			time.Sleep(time.Millisecond)
		}
		far.Release(&held, conn, ctpools.Result{})
	})
	assert.Equal(t, len(group.Violations()), 0, "%v", group.Violations())
}
