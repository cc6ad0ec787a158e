package ctcontrol

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// newJoining returns a control process that has asked the seeds to join for a time and has heard
// no leader.
func newJoining(t *testing.T, d time.Duration, seeds ...ctid.Control) (*Service, *ctclock.Manual) {
	t.Helper()
	s, clock := newFollower(t), &ctclock.Manual{}
	s.Clock = clock
	s.Resolve = func(ctid.Control) (netip.AddrPort, bool) { return netip.AddrPort{}, false }
	r := &Replica{self: ctquorum.Peer{Name: s.Name, Incarnation: 1}, clock: clock, machine: s.control}
	r.startWatch()
	r.node.Rank = ctlock.RankQuorum
	var held ctlock.Held
	var peers []ctquorum.Peer
	for _, name := range seeds {
		peers = append(peers, ctquorum.Peer{Name: name})
	}
	r.node.With(&held, func(n **ctquorum.Node) {
		*n = ctquorum.New(clock.Now(), r.self, ctquorum.PersistentState{}, peers, systemRandom{})
	})
	s.replica = r
	clock.Advance(d)
	r.handle(&held, ctquorum.Tick{})
	s.announcements = newAnnouncementRelay(clock, s.sendToLeader)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.announcements.run(ctx)
	return s, clock
}

// assertNotLeader checks that the only reply sends the proxy to another control process.
func assertNotLeader(t *testing.T, replies []ctframe.Frame) {
	t.Helper()
	assert.Equal(t, len(replies), 1)
	reply, ok := replies[0].(*ctframe.ReportReply)
	assert.Assert(t, ok, "%T", replies[0])
	assert.Assert(t, reply.NotLeader)
}

// assertUnjoined checks that the only reply says that the process has not joined, and whom it asks.
func assertUnjoined(t *testing.T, replies []ctframe.Frame, asked ...ctid.Control) {
	t.Helper()
	assertRetry(t, replies, true)
	retry, ok := replies[0].(*ctframe.Retry)
	assert.Assert(t, ok && retry.Unjoined)
	assert.DeepEqual(t, retry.Controls, asked)
}

// TestUnjoined guards against proxies, members and operators that wait at a control process that
// has not joined the others and can't serve them.
func TestUnjoined(t *testing.T) {
	const long = 5 * time.Second
	for _, call := range []struct {
		name string
		do   func(s *Service) error
	}{
		{"a read of the configuration", func(s *Service) error {
			_, _, err := s.CurrentConfig(context.Background())
			return err
		}},
		{"a release", func(s *Service) error { return s.Publish(context.Background(), 1, []byte("x")) }},
		{"an announcement", func(s *Service) error {
			return s.Announce(context.Background(), ctserver.Announcement{Member: "m", State: ctserver.StateReady})
		}},
		{"a deregistration", func(s *Service) error { return s.DeregisterMember(context.Background(), "m") }},
	} {
		t.Run(call.name+" is rejected", func(t *testing.T) {
			s, _ := newJoining(t, long)
			assert.ErrorContains(t, call.do(s), "has not joined")
		})
	}
	t.Run("a report is sent to another process, of which it names those that it asks", func(t *testing.T) {
		s, _ := newJoining(t, long, "10.0.0.7")
		s.reports = nil
		assertUnjoined(t, serve(s, rawFrame(t, testReport(), 0)), "10.0.0.7")
	})
	t.Run("a watch is sent to another process", func(t *testing.T) {
		s, _ := newJoining(t, long)
		assertNotLeader(t, serve(s, rawFrame(t, &ctframe.Watch{}, 0)))
	})
	t.Run("a report waits for the join right after the start", func(t *testing.T) {
		s, _ := newJoining(t, quorumTickInterval)
		assertRetry(t, serve(s, rawFrame(t, testReport(), 0)), true)
	})
	t.Run("a report waits for the next leader at a process that had joined", func(t *testing.T) {
		s, clock := newJoining(t, long)
		var held ctlock.Held
		leader := ctquorum.Peer{Name: "10.0.0.2", Incarnation: 1}
		s.replica.handle(&held, ctquorum.Received{From: leader, Message: ctquorum.AppendRequest{}})
		clock.Advance(long)
		s.replica.handle(&held, ctquorum.Tick{})
		assertRetry(t, serve(s, rawFrame(t, testReport(), 0)), true)
	})
}
