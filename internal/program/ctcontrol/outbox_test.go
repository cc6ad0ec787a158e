package ctcontrol

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctstore"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// sentFrame is a message of the replicated log and the number of the stream that it was sent on.
type sentFrame struct {
	message ctquorum.Message
	stream  int32
}

// numberedTransport opens streams that are numbered from 1 and reports what is sent on them.
type numberedTransport struct {
	opened atomic.Int32
	sent   chan sentFrame
	closed chan int32
}

func (n *numberedTransport) Open(context.Context, netip.AddrPort) (ctframe.Stream, error) {
	return &numberedStream{transport: n, number: n.opened.Add(1)}, nil
}

type numberedStream struct {
	transport *numberedTransport
	number    int32
}

func (s *numberedStream) Read() (ctframe.Frame, error) { select {} }
func (s *numberedStream) Close()                       { s.transport.closed <- s.number }

func (s *numberedStream) Write(frame ctframe.Frame) error {
	if q, ok := frame.(*ctframe.Quorum); ok {
		s.transport.sent <- sentFrame{message: q.Message(), stream: s.number}
	}
	return nil
}

// nextReply returns the stream of the next reply to a request to join.
func (n *numberedTransport) nextReply(t *testing.T) int32 {
	t.Helper()
	for {
		select {
		case f := <-n.sent:
			if _, ok := f.message.(ctquorum.JoinReply); ok {
				return f.stream
			}
		case <-time.After(time.Minute):
			t.Fatal("no reply")
		}
	}
}

// nextRequest waits for a request to join, which opens a stream.
func (n *numberedTransport) nextRequest(t *testing.T) {
	t.Helper()
	select {
	case <-n.sent:
	case <-time.After(time.Minute):
		t.Fatal("no request")
	}
}

// awaitClosed waits until a stream is closed.
func (n *numberedTransport) awaitClosed(t *testing.T, stream int32) {
	t.Helper()
	for {
		select {
		case closed := <-n.closed:
			if closed == stream {
				return
			}
		case <-time.After(time.Minute):
			t.Fatal("the stream stays open")
		}
	}
}

// ignoringMachine is a state machine that keeps nothing.
type ignoringMachine struct{ StateMachine }

func (ignoringMachine) BecomeFollower(ctquorum.Peer) {}
func (ignoringMachine) SetAuthority(time.Time)       {}

// TestOutboxAfterLostDisk guards against messages that go to a stream whose peer is gone: a process
// that had lost its disk heard the leader only once TCP had given up the stream to the process before.
func TestOutboxAfterLostDisk(t *testing.T) {
	const buffered = 1000
	transport := &numberedTransport{sent: make(chan sentFrame, buffered), closed: make(chan int32, buffered)}
	store, err := ctstore.Open(t.TempDir(), "a")
	assert.NilError(t, err)
	r := &Replica{
		self: ctquorum.Peer{Name: "a", Incarnation: 1}, disk: &disk{store: store}, transport: transport,
		clock: ctclock.System{}, peers: []PeerAddress{{Name: "b"}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	assert.NilError(t, r.Start(ctx, ignoringMachine{}, systemRandom{}))
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, store.Close())
	})
	replyTo := func(incarnation ctquorum.Peer) int32 {
		request := ctquorum.JoinRequest{WantsReply: true}
		r.Receive(ctframe.NewQuorum(incarnation, ctquorum.Peer{Name: "a"}, request))
		return transport.nextReply(t)
	}
	earlier, later := ctquorum.Peer{Name: "b", Incarnation: 1}, ctquorum.Peer{Name: "b", Incarnation: 2}
	transport.nextRequest(t)
	before := replyTo(earlier)
	t.Run("a later incarnation is answered on a new stream", func(t *testing.T) {
		assert.Assert(t, replyTo(later) > before)
	})
	t.Run("the stream to the earlier one is closed", func(t *testing.T) {
		transport.awaitClosed(t, before)
	})
	t.Run("the stream is kept while the incarnation stays", func(t *testing.T) {
		kept := replyTo(later)
		assert.Equal(t, replyTo(later), kept)
	})
	t.Run("a late message of the earlier one changes nothing", func(t *testing.T) {
		kept := replyTo(later)
		replyTo(earlier)
		assert.Equal(t, replyTo(later), kept)
	})
}

// closedTransport is a transport to processes that don't answer.
type closedTransport struct{}

func (closedTransport) Open(context.Context, netip.AddrPort) (ctframe.Stream, error) {
	return nil, errors.New("no answer")
}

// TestProcessesThatAreGone guards against a process that keeps an outbox with its goroutine, or a record, for
// each control process that it was ever told of.
func TestProcessesThatAreGone(t *testing.T) {
	const names = 1000
	r := &Replica{
		self: ctquorum.Peer{Name: "a", Incarnation: 1}, ctx: t.Context(),
		clock: ctclock.System{}, transport: closedTransport{},
		resolve:  func(ctid.Control) (netip.AddrPort, bool) { return netip.MustParseAddrPort("10.0.9.9:1"), true },
		outboxes: make(map[ctid.Control]*outbox),
	}
	r.startWatch()
	last := ctid.Control("")
	for i := range names {
		last = ctid.Control(fmt.Sprintf("10.1.%d.%d", i/250, i%250))
		r.send(ctquorum.Send{To: ctquorum.Peer{Name: last}, Message: ctquorum.JoinRequest{}})
		r.links.addReceived(r.clock.Now(), last, ctquorum.JoinReply{}, false)
	}
	t.Run("leave a bounded number of outboxes, the latest among them", func(t *testing.T) {
		assert.Equal(t, len(r.outboxes), maxOutboxes)
		assert.Assert(t, r.outboxes[last] != nil)
	})
	t.Run("leave a bounded number of records, the latest among them", func(t *testing.T) {
		var held ctlock.Held
		senders := r.links.senders(&held)
		assert.Equal(t, len(senders), maxLinks)
		assert.Assert(t, slices.Contains(senders, last))
	})
	t.Run("leave the records of those that were heard when an attempt to reach one ends late", func(t *testing.T) {
		var held ctlock.Held
		r.links.setClosed("10.1.0.0", errors.New("no route"))
		r.links.setOpen("10.1.0.1")
		assert.Equal(t, len(r.links.senders(&held)), maxLinks)
	})
}
