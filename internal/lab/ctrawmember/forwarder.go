package ctrawmember

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Forwarder is a transport with one stream, to a proxy that forwards queries. Replies returns its
// replies to a request.
type Forwarder struct {
	frames  chan ctframe.Frame
	closed  chan struct{}
	once    sync.Once
	Replies func(*ctframe.Forward) []*ctframe.ForwardReply
}

// Open returns the stream.
func (s *Forwarder) Open(context.Context, netip.AddrPort) (ctframe.Stream, error) {
	return s, nil
}

// Close closes the stream.
func (s *Forwarder) Close() {
	s.once.Do(func() { close(s.closed) })
}

// Write queues the replies to a request.
func (s *Forwarder) Write(frame ctframe.Frame) error {
	if request, ok := frame.(*ctframe.Forward); ok {
		for _, reply := range s.Replies(request) {
			s.frames <- reply
		}
	}
	return nil
}

// Read returns the next reply. It returns io.EOF once the stream is closed.
func (s *Forwarder) Read() (ctframe.Frame, error) {
	select {
	case frame := <-s.frames:
		return frame, nil
	case <-s.closed:
		return nil, io.EOF
	}
}

// ReplyTo returns a reply to a request with the number that it says.
func ReplyTo(request *ctframe.Forward, number ctframe.RequestNumber) *ctframe.ForwardReply {
	answer := ctframe.NewQueryAnswer(ctquery.Answer{Rows: []string{string(request.Query.ID)}})
	return &ctframe.ForwardReply{Answer: answer, Number: number}
}

// ForwardedConn returns a connection of a proxy whose queries another proxy runs.
func ForwardedConn(replies func(*ctframe.Forward) []*ctframe.ForwardReply) (*ctpools.Conn, error) {
	stream := &Forwarder{frames: make(chan ctframe.Frame, answerBuffer), closed: make(chan struct{}), Replies: replies}
	self := ctview.Proxy{Name: "p1", FailureDomain: "d1", State: ctserver.StateReady}
	near := ctview.Proxy{Name: "p2", FailureDomain: "d2", State: ctserver.StateReady}
	near.Address = netip.MustParseAddrPort("127.0.0.2:1")
	pools := ctpools.New(nil, self, stream, &ctclock.System{}, zerolog.Nop())
	member := ctserver.Announcement{
		Group: "g", Member: MemberName, FailureDomain: near.FailureDomain, Incarnation: 1,
		State: ctserver.StateReady, Slots: 2, Connections: 5,
	}
	delta := &ctview.Delta{To: 1, Proxies: []ctview.Proxy{self, near}, Members: []ctserver.Announcement{member}}
	view, err := (&ctview.View{}).Apply(delta)
	if err != nil {
		return nil, err
	}
	var held ctlock.Held
	pools.ApplyView(&held, view)
	return pools.Acquire(&held, MemberName, ctpools.AcquireOptions{Deadline: time.Now().Add(AnswerTimeout)})
}
