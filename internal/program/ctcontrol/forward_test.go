package ctcontrol

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// countingStream counts its concurrent users.
type countingStream struct {
	users atomic.Int32
}

func (*countingStream) Write(ctframe.Frame) error    { return nil }
func (*countingStream) Read() (ctframe.Frame, error) { return nil, nil }
func (*countingStream) Close()                       {}

type countingTransport struct{}

func (countingTransport) Open(context.Context, netip.AddrPort) (ctframe.Stream, error) {
	return &countingStream{}, nil
}

// TestIdleStreams guards against two concurrent requests that share a stream to the
// leader, where one request could receive the reply to another. This occurs when many
// members report through one control process.
func TestIdleStreams(t *testing.T) {
	s := &Service{
		ServiceOptions: ServiceOptions{Transport: countingTransport{}},
		idleStreams:    make(map[ctid.Control][]ctframe.Stream),
	}
	const callers, calls = 8, 2000
	var shared atomic.Int32
	var done sync.WaitGroup
	for range callers {
		done.Add(1)
		go func() {
			defer done.Done()
			for range calls {
				stream, _, err := s.acquireStream(context.Background(), "leader", netip.AddrPort{})
				c, ok := stream.(*countingStream)
				if err != nil || !ok {
					return
				}
				if c.users.Add(1) > 1 {
					shared.Add(1)
				}
				c.users.Add(-1)
				s.releaseStream("leader", stream)
			}
		}()
	}
	done.Wait()
	assert.Equal(t, shared.Load(), int32(0))
}

// unreadyTransport is a leader that refuses the first requests, because it has lost its
// authority for a moment.
type unreadyTransport struct {
	refusals, opened, calls int
}

func (u *unreadyTransport) Open(context.Context, netip.AddrPort) (ctframe.Stream, error) {
	u.opened++
	return &unreadyStream{leader: u}, nil
}

type unreadyStream struct {
	leader *unreadyTransport
}

func (*unreadyStream) Write(ctframe.Frame) error { return nil }
func (*unreadyStream) Close()                    {}

func (s *unreadyStream) Read() (ctframe.Frame, error) {
	s.leader.calls++
	if s.leader.calls <= s.leader.refusals {
		return &ctframe.ErrorReply{Kind: cterror.Unavailable.String(), Message: "no authority"}, nil
	}
	return &ctframe.Ack{}, nil
}

// TestLeaderWithoutAuthority guards against members and proxies that ask all control
// processes one after another, each over a new connection, while the leader has no
// authority: it would not regain it under that load.
func TestLeaderWithoutAuthority(t *testing.T) {
	start := func(refusals int) (*Service, *unreadyTransport) {
		leader := &unreadyTransport{refusals: refusals}
		s := &Service{
			ServiceOptions: ServiceOptions{
				Name: "a", Transport: leader, Clock: ctclock.System{},
				Resolve: func(ctid.Control) (netip.AddrPort, bool) { return netip.AddrPort{}, true },
			},
			control:     New(Options{Name: "a", Clock: ctclock.System{}}),
			replica:     &Replica{},
			idleStreams: make(map[ctid.Control][]ctframe.Stream),
		}
		s.control.BecomeFollower(ctquorum.Peer{Name: "b", Incarnation: 1})
		return s, leader
	}
	t.Run("requests wait for it over the same connection", func(t *testing.T) {
		const refusals = 3
		s, leader := start(refusals)
		assert.NilError(t, s.sendToLeader(context.Background(), &ctframe.Gathered{}))
		assert.Equal(t, leader.calls, refusals+1)
		assert.Equal(t, leader.opened, 1)
	})
	t.Run("requests are not held for longer than their timeout", func(t *testing.T) {
		s, _ := start(math.MaxInt)
		ctx, cancel := context.WithTimeout(context.Background(), 3*leaderRetryDelay)
		defer cancel()
		assert.ErrorContains(t, s.sendToLeader(ctx, &ctframe.Gathered{}), "no authority")
	})
}
