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

// counted is a way that notes whether two have it at a time.
type counted struct {
	users atomic.Int32
}

func (*counted) Write(ctframe.Frame) error    { return nil }
func (*counted) Read() (ctframe.Frame, error) { return nil, nil }
func (*counted) Close()                       {}

type countedWays struct{}

func (countedWays) Open(context.Context, netip.AddrPort) (ctframe.Stream, error) {
	return &counted{}, nil
}

// TestIdleWays names the pattern of many members that report through one control
// process: each question needs a way to the leader of its own, or answers cross.
func TestIdleWays(t *testing.T) {
	s := &Service{ServiceOptions: ServiceOptions{Transport: countedWays{}}, idle: make(map[ctid.Control][]ctframe.Stream)}
	const askers, questions = 8, 2000
	var shared atomic.Int32
	var done sync.WaitGroup
	for range askers {
		done.Add(1)
		go func() {
			defer done.Done()
			for range questions {
				way, _, err := s.take(context.Background(), "leader", netip.AddrPort{})
				c, ok := way.(*counted)
				if err != nil || !ok {
					return
				}
				if c.users.Add(1) > 1 {
					shared.Add(1)
				}
				c.users.Add(-1)
				s.keep("leader", way)
			}
		}()
	}
	done.Wait()
	assert.Equal(t, shared.Load(), int32(0))
}
