package ctcontrol

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// batchLeader is a leader that answers batches one by one, each when release receives a
// value. It records their sizes.
type batchLeader struct {
	mutex   sync.Mutex
	sizes   []int
	release chan error
}

func (l *batchLeader) send(ctx context.Context, reports []ctview.Report) (*ctframe.ReportBatchReply, error) {
	l.mutex.Lock()
	l.sizes = append(l.sizes, len(reports))
	l.mutex.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case err := <-l.release:
		if err != nil {
			return nil, err
		}
	}
	reply := &ctframe.ReportBatchReply{}
	for _, r := range reports {
		reply.Replies = append(reply.Replies, ctview.Reply{Number: r.Number})
	}
	return reply, nil
}

func (l *batchLeader) batches() []int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]int(nil), l.sizes...)
}

// startReportRelay returns a running relay to a leader.
func startReportRelay(t *testing.T, clock ctclock.Clock) (*reportRelay, *batchLeader) {
	t.Helper()
	leader := &batchLeader{release: make(chan error)}
	r := newReportRelay(clock, leader.send)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.run(ctx)
	return r, leader
}

// forwardAll forwards reports with the numbers 1 to count at the same time. The channel
// receives the number of each reply, or 0 for none.
func forwardAll(r *reportRelay, count int) <-chan [2]uint64 {
	answered := make(chan [2]uint64, count)
	for i := range count {
		go func() {
			var held ctlock.Held
			number := uint64(i + 1)
			reply := r.forward(context.Background(), &held, &ctview.Report{Number: number})
			if reply == nil {
				answered <- [2]uint64{number, 0}
				return
			}
			answered <- [2]uint64{number, reply.Number}
		}()
	}
	return answered
}

// assertAnswered checks that each report received its own reply.
func assertAnswered(t *testing.T, answered <-chan [2]uint64, count int) {
	t.Helper()
	for range count {
		a := <-answered
		assert.Equal(t, a[0], a[1])
	}
}

// waiting returns how many reports wait for the next batch.
func (r *reportRelay) waitingCount() int {
	var held ctlock.Held
	return len(r.waiting.Get(&held))
}

// await waits until a condition holds.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the condition was not met")
}

// TestReportRelay guards against one request to the leader for each report of a fleet of
// hundreds of proxies.
func TestReportRelay(t *testing.T) {
	const proxies = 50
	t.Run("reports that arrive during a batch form the next one", func(t *testing.T) {
		r, leader := startReportRelay(t, ctclock.System{})
		first := forwardAll(r, 1)
		await(t, func() bool { return len(leader.batches()) == 1 })
		rest := forwardAll(r, proxies)
		await(t, func() bool { return r.waitingCount() == proxies })
		leader.release <- nil
		assertAnswered(t, first, 1)
		leader.release <- nil
		assertAnswered(t, rest, proxies)
		assert.DeepEqual(t, leader.batches(), []int{1, proxies})
	})
	t.Run("a report that the leader does not answer is given up", func(t *testing.T) {
		clock := &ctclock.Manual{}
		r, leader := startReportRelay(t, clock)
		answered := forwardAll(r, 1)
		await(t, func() bool { return len(leader.batches()) == 1 })
		await(t, func() bool { clock.Advance(relayTimeout); return len(answered) == 1 })
		assert.Equal(t, (<-answered)[1], uint64(0))
	})
	t.Run("a report that was given up is not sent later", func(t *testing.T) {
		clock := &ctclock.Manual{}
		r, leader := startReportRelay(t, clock)
		forwardAll(r, 1)
		await(t, func() bool { return len(leader.batches()) == 1 })
		late := forwardAll(r, 1)
		await(t, func() bool { return r.waitingCount() == 1 })
		await(t, func() bool { clock.Advance(relayTimeout); return len(late) == 1 })
		assert.Equal(t, r.waitingCount(), 0)
	})
	t.Run("a batch that fails makes its proxies try another process", func(t *testing.T) {
		r, leader := startReportRelay(t, ctclock.System{})
		answered := forwardAll(r, 1)
		leader.release <- errors.New("the leader's process has ended")
		assert.Equal(t, (<-answered)[1], uint64(0))
	})
}

// TestCompleteReply checks what a control process adds to the leader's replies.
func TestCompleteReply(t *testing.T) {
	groups := make(map[ctid.Group]ctview.Group)
	members := make(map[ctid.Member]ctserver.Announcement)
	for i := range ctview.TrackAllLimit + 4 {
		group, member := ctid.Group(fmt.Sprintf("g%d", i)), ctid.Member(fmt.Sprintf("m%d", i))
		groups[group] = ctview.Group{Name: group, Term: 1, Primary: member}
		members[member] = ctserver.Announcement{Group: group, Member: member}
	}
	fenced := groups["g3"]
	fenced.Fence = 2
	groups["g3"] = fenced
	view := &ctview.View{Version: 9, Groups: groups, Members: members}
	relay := &ctview.Reply{LogSamples: []ctview.LogSample{{Group: "g1"}, {Group: "g2"}}}
	complete := func(version ctview.Version, relay *ctview.Reply) ctview.Reply {
		var reply ctview.Reply
		completeReply(&reply, &ctview.Report{Version: version, Reachable: []ctid.Member{"m1"}}, view, relay)
		return reply
	}
	t.Run("the samples of the groups in use", func(t *testing.T) {
		assert.DeepEqual(t, complete(9, relay).LogSamples, []ctview.LogSample{{Group: "g1"}})
	})
	t.Run("to a proxy with an earlier view: the groups in use and those that change", func(t *testing.T) {
		assert.Equal(t, len(complete(8, relay).Groups), 2)
	})
	t.Run("to a proxy with the same view: no groups", func(t *testing.T) {
		assert.Equal(t, len(complete(9, relay).Groups), 0)
	})
	t.Run("to all: groups that are ahead of the view", func(t *testing.T) {
		assert.Equal(t, len(complete(9, &ctview.Reply{Groups: []ctview.Group{fenced}}).Groups), 2)
	})
}
