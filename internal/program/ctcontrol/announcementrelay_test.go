package ctcontrol

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// leaderStub counts the announcements that a leader receives.
type leaderStub struct {
	mutex    sync.Mutex
	received int
	down     bool
}

func (s *leaderStub) send(_ context.Context, frame ctframe.Frame) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return errors.New("no leader")
	}
	if f, ok := frame.(*ctframe.Gathered); ok {
		s.received += len(f.Announcements)
	}
	return nil
}

func (s *leaderStub) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

func readyReplica(sequence uint64) ctserver.Announcement {
	return ctserver.Announcement{
		Group: "g", Member: "m", FailureDomain: "d", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1,
		Sequence: sequence, Role: ctserver.RoleReplica, State: ctserver.StateReady, Term: 1,
	}
}

// assertReceived checks how many announcements the leader received.
func assertReceived(t *testing.T, s *leaderStub, want int) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	assert.Equal(t, s.received, want)
}

// TestRelay guards against one request to the leader for each announcement, in a fleet of
// thousands of members that report through any control process.
func TestRelay(t *testing.T) {
	ctx := context.Background()
	start := func(t *testing.T) (*announcementRelay, *leaderStub) {
		s := &leaderStub{}
		r := newAnnouncementRelay(ctclock.System{}, s.send)
		runCtx, cancel := context.WithCancel(ctx)
		t.Cleanup(cancel)
		go r.changed.run(runCtx)
		assert.NilError(t, r.announce(ctx, readyReplica(1)))
		assertReceived(t, s, 1)
		return r, s
	}
	t.Run("unchanged announcements are accepted without the leader", func(t *testing.T) {
		r, s := start(t)
		for n := range 5 {
			assert.NilError(t, r.announce(ctx, readyReplica(uint64(n+2))))
		}
		assertReceived(t, s, 1)
	})
	t.Run("unchanged announcements reach the leader in a batch", func(t *testing.T) {
		r, s := start(t)
		assert.NilError(t, r.announce(ctx, readyReplica(2)))
		ctx, cancel := context.WithTimeout(ctx, 2*batchInterval)
		defer cancel()
		r.run(ctx)
		assertReceived(t, s, 2)
	})
	t.Run("unchanged announcements that found no leader reach the next one", func(t *testing.T) {
		r, s := start(t)
		assert.NilError(t, r.announce(ctx, readyReplica(2)))
		s.setDown(true)
		assert.ErrorContains(t, r.sendUnchanged(ctx, &ctlock.Held{}), "no leader")
		s.setDown(false)
		assert.NilError(t, r.sendUnchanged(ctx, &ctlock.Held{}))
		assertReceived(t, s, 2)
	})
	t.Run("old ones don't, as their members may have ended", func(t *testing.T) {
		r, _ := start(t)
		r.cache.With(&ctlock.Held{}, func(c *announcementCache) {
			now := time.Now()
			assert.Assert(t, c.acceptUnchanged(now, readyReplica(2)))
			c.putBack(now.Add(resendPeriod), c.nextBatch(now))
			assert.Equal(t, len(c.nextBatch(now)), 0)
		})
	})
	for _, c := range []struct {
		name  string
		alter func(a *ctserver.Announcement)
	}{
		{"a leaving member", func(a *ctserver.Announcement) { a.State = ctserver.StateLeaving }},
		{"a member with another role", func(a *ctserver.Announcement) { a.Role = ctserver.RolePrimary }},
		{"a restarted member", func(a *ctserver.Announcement) { a.Incarnation = 2 }},
		{"a member at another address", func(a *ctserver.Announcement) {
			a.Address = netip.MustParseAddrPort("127.0.0.1:2")
		}},
		{"a late announcement", func(a *ctserver.Announcement) { a.Sequence = 0 }},
	} {
		t.Run("the leader is immediately sent "+c.name, func(t *testing.T) {
			r, s := start(t)
			announcement := readyReplica(2)
			c.alter(&announcement)
			assert.NilError(t, r.announce(ctx, announcement))
			assertReceived(t, s, 2)
		})
	}
	t.Run("nothing is accepted here once the cache has expired", func(t *testing.T) {
		r, s := start(t)
		s.setDown(true)
		r.cache.With(&ctlock.Held{}, func(c *announcementCache) { c.validUntil = time.Now().Add(-time.Second) })
		assert.ErrorContains(t, r.announce(ctx, readyReplica(2)), "leader has not answered")
	})
}
