package ctpools_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

const forwardedMember ctid.Member = "m1"

// echoStream is a stream to a proxy whose replies carry the query's ID as their row.
// replies returns those to a request.
type echoStream struct {
	frames  chan ctframe.Frame
	closed  chan struct{}
	once    sync.Once
	replies func(*ctframe.Forward) []*ctframe.ForwardReply
}

func (s *echoStream) Open(context.Context, netip.AddrPort) (ctframe.Stream, error) {
	return s, nil
}

func (s *echoStream) Close() {
	s.once.Do(func() { close(s.closed) })
}

func (s *echoStream) Write(frame ctframe.Frame) error {
	if request, ok := frame.(*ctframe.Forward); ok {
		for _, reply := range s.replies(request) {
			s.frames <- reply
		}
	}
	return nil
}

func (s *echoStream) Read() (ctframe.Frame, error) {
	select {
	case frame := <-s.frames:
		return frame, nil
	case <-s.closed:
		return nil, io.EOF
	}
}

// replyTo returns a reply to a request with the number that it says.
func replyTo(request *ctframe.Forward, number ctframe.RequestNumber) *ctframe.ForwardReply {
	answer := ctframe.NewQueryAnswer(ctquery.Answer{Rows: []string{string(request.Query.ID)}})
	return &ctframe.ForwardReply{Answer: answer, Number: number}
}

// forwardedConn returns a connection of a proxy whose queries another proxy runs.
func forwardedConn(t *testing.T, replies func(*ctframe.Forward) []*ctframe.ForwardReply) *ctpools.Conn {
	t.Helper()
	stream := &echoStream{frames: make(chan ctframe.Frame, 8), closed: make(chan struct{}), replies: replies}
	self := ctview.Proxy{Name: "p1", FailureDomain: "d1", State: ctserver.StateReady}
	near := ctview.Proxy{Name: "p2", FailureDomain: "d2", State: ctserver.StateReady}
	near.Address = netip.MustParseAddrPort("127.0.0.2:1")
	pools := ctpools.New(nil, self, stream, &ctclock.System{}, zerolog.Nop())
	var held ctlock.Held
	member := ctserver.Announcement{
		Group: "g", Member: forwardedMember, FailureDomain: near.FailureDomain, Incarnation: 1,
		State: ctserver.StateReady, Slots: 2, Connections: 5,
	}
	delta := &ctview.Delta{To: 1, Proxies: []ctview.Proxy{self, near}, Members: []ctserver.Announcement{member}}
	view, err := (&ctview.View{}).Apply(delta)
	assert.NilError(t, err)
	pools.ApplyView(&held, view)
	conn, err := pools.Acquire(&held, forwardedMember, ctpools.AcquireOptions{Deadline: time.Now().Add(time.Second)})
	assert.NilError(t, err)
	return conn
}

// assertOwnRows runs two reads and asserts that none gets the rows of another one.
func assertOwnRows(t *testing.T, conn *ctpools.Conn, wantAnswers int) {
	t.Helper()
	answers := 0
	for _, id := range []ctquery.ID{"a", "b"} {
		query := ctquery.Query{ID: id, Statement: ctquery.Read{Item: "x"}}
		answer, err := conn.Run(nil, query, ctpools.Limits{Deadline: time.Now().Add(200 * time.Millisecond)})
		if err != nil {
			continue
		}
		answers++
		assert.DeepEqual(t, answer.Rows, []string{string(id)})
	}
	assert.Equal(t, answers, wantAnswers)
}

// Guards against a forwarding proxy's reply that is taken for the reply to another query.
func TestReplyToAnotherForwardedQuery(t *testing.T) {
	t.Run("a reply that comes twice", func(t *testing.T) {
		assertOwnRows(t, forwardedConn(t, func(request *ctframe.Forward) []*ctframe.ForwardReply {
			return []*ctframe.ForwardReply{replyTo(request, request.Number), replyTo(request, request.Number)}
		}), 1)
	})
	t.Run("a reply to the request before", func(t *testing.T) {
		var earlier *ctframe.Forward
		assertOwnRows(t, forwardedConn(t, func(request *ctframe.Forward) []*ctframe.ForwardReply {
			if earlier == nil {
				earlier = request
				return []*ctframe.ForwardReply{replyTo(request, request.Number)}
			}
			return []*ctframe.ForwardReply{replyTo(earlier, earlier.Number), replyTo(request, request.Number)}
		}), 1)
	})
	t.Run("a reply without a number", func(t *testing.T) {
		assertOwnRows(t, forwardedConn(t, func(request *ctframe.Forward) []*ctframe.ForwardReply {
			return []*ctframe.ForwardReply{replyTo(request, 0)}
		}), 0)
	})
	t.Run("replies to their requests", func(t *testing.T) {
		assertOwnRows(t, forwardedConn(t, func(request *ctframe.Forward) []*ctframe.ForwardReply {
			return []*ctframe.ForwardReply{replyTo(request, request.Number)}
		}), 2)
	})
}
