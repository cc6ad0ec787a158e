package ctcontrol

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
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
