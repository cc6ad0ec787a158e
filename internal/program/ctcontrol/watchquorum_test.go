package ctcontrol

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// watchBench is the watch of a process whose status the test sets.
type watchBench struct {
	replica  Replica
	registry *prometheus.Registry
	log      bytes.Buffer
	held     ctlock.Held
	now      time.Time
}

func newWatchBench() *watchBench {
	b := &watchBench{registry: prometheus.NewRegistry(), now: time.Unix(100, 0)}
	b.replica.logger = zerolog.New(&b.log)
	b.replica.metrics = ctmetric.NewControl(b.registry)
	b.replica.startWatch()
	return b
}

// play observes a status for a time.
func (b *watchBench) play(d time.Duration, status ctquorum.Status) {
	for until := b.now.Add(d); b.now.Before(until); b.now = b.now.Add(quorumTickInterval) {
		if b.replica.watch.wants(b.now, ctquorum.Tick{}) {
			b.replica.watch.observe(&b.held, b.now, ctquorum.Tick{}, status)
		}
	}
}

// receiveJoin observes a request to join that led to a status.
func (b *watchBench) receiveJoin(status ctquorum.Status) {
	request := ctquorum.Received{From: ctquorum.Peer{Name: "new", Incarnation: 7}, Message: ctquorum.JoinRequest{}}
	b.replica.watch.observe(&b.held, b.now, request, status)
}

// assertLines checks how many lines of an event were logged, and that the last one contains the
// parts.
func assertLines(t *testing.T, b *watchBench, event string, want int, parts ...string) {
	t.Helper()
	var lines []string
	for line := range strings.Lines(b.log.String()) {
		if strings.Contains(line, `"event":"`+event+`"`) {
			lines = append(lines, line)
		}
	}
	assert.Equal(t, len(lines), want, b.log.String())
	for _, part := range parts {
		assert.Assert(t, strings.Contains(lines[want-1], part), "%s lacks %s", lines[want-1], part)
	}
}

// leading returns the status of a leader of five voters, of which the first ones are lost.
func leading(lost int, learners ...ctquorum.Peer) ctquorum.Leading {
	status := ctquorum.Leading{Ready: true}
	for i, name := range []ctid.Control{"a", "b", "c", "d", "e"} {
		v := ctquorum.PeerStatus{Peer: ctquorum.Peer{Name: name, Incarnation: 1}}
		if i < lost {
			v.Loss, v.Silence = ctquorum.LossSilent, 4*time.Second
		}
		status.Voters = append(status.Voters, v)
	}
	for _, peer := range learners {
		status.Learners = append(status.Learners, ctquorum.PeerStatus{Peer: peer, Behind: 12})
	}
	return status
}

// TestWatchJoin guards against a process that can't join and doesn't say whom it asks, and
// what came back.
func TestWatchJoin(t *testing.T) {
	following := ctquorum.Following{Leader: ctquorum.Peer{Name: "a", Incarnation: 1}}
	t.Run("a pending join is logged once in two seconds with the state of each stream", func(t *testing.T) {
		b := newWatchBench()
		b.replica.links.setOpen("a")
		b.replica.links.addReceived(b.now, "d", ctquorum.AppendRequest{}, true)
		b.replica.links.setClosed("b", errors.New("connection rejected"))
		joining := ctquorum.Joining{Since: b.now, Asked: []ctquorum.JoinAnswer{
			{From: ctquorum.Peer{Name: "a"}, At: b.now, Outcome: ctquorum.JoinNotLeading, Leader: ctquorum.Peer{Name: "d"}},
			{From: ctquorum.Peer{Name: "b"}}, {From: ctquorum.Peer{Name: "c"}},
		}}
		b.play(7*time.Second, joining)
		assertLines(t, b, "join_pending", 3,
			`"for_s":6`, `{"process":"a","asked":true,"stream_open":true,`,
			`"answer":"not_leading","answer_leader":"d","answered_before_s":6`,
			`{"process":"b","asked":true,"stream_open":false,"last_error":"connection rejected"}`,
			`{"process":"c","asked":true,"stream_open":false}`,
			`"received":"append_request"`, `"discarded":1`)
		assertWatchMetric(t, b, "control_state", "joins", 1)
		b.play(time.Second, following)
		assertLines(t, b, "joined", 1, `"leader":"a"`, `"took_s":7`)
		assertWatchMetric(t, b, "control_state", "joins", 0)
	})
	t.Run("a learner that loses its leader for a moment logs nothing", func(t *testing.T) {
		b := newWatchBench()
		b.play(time.Second, following)
		b.play(time.Second, ctquorum.Joining{Since: b.now, HeardLeader: true})
		b.play(time.Second, following)
		assert.Equal(t, b.log.Len(), 0)
	})
	t.Run("requests that are not accepted are logged once in some seconds", func(t *testing.T) {
		b := newWatchBench()
		for range 20 {
			b.receiveJoin(following)
			b.now = b.now.Add(100 * time.Millisecond)
		}
		b.receiveJoin(leading(0, ctquorum.Peer{Name: "new", Incarnation: 7}))
		assertLines(t, b, "join_rejected", 1, `"from":"new","incarnation":7`, `"why":"not_leader"`, `"leader":"a"`)
		assertWatchMetric(t, b, "control_join_requests_total", "not_leader", 20)
		assertWatchMetric(t, b, "control_join_requests_total", "accepted", 1)
	})
}

// TestWatchVoters guards against a loss of the majority without a warning before it.
func TestWatchVoters(t *testing.T) {
	t.Run("lost voters are logged with how many more losses stop control, and when that is over", func(t *testing.T) {
		b := newWatchBench()
		b.play(3*time.Second, leading(0))
		assertLines(t, b, "voters_at_risk", 0)
		b.play(3*time.Second, leading(1))
		assertLines(t, b, "voters_at_risk", 1, "1 of 5 voters lost, 2 more losses stop control", `"name":"a"`)
		b.play(10*time.Second, leading(2))
		assertLines(t, b, "voters_at_risk", 2,
			"2 of 5 voters lost, one more loss stops control", `"name":"b"`, `"why":"silent"`)
		assertWatchMetric(t, b, "control_voters", "silent", 2)
		b.play(3*time.Second, leading(0))
		assertLines(t, b, "voters_safe", 1)
	})
	t.Run("the lag of a process is that of its latest incarnation", func(t *testing.T) {
		b := newWatchBench()
		status := leading(0, ctquorum.Peer{Name: "a", Incarnation: 1})
		status.Voters[0].Peer.Incarnation = 2
		b.play(time.Second, status)
		assertWatchMetric(t, b, "control_log_lag_entries", "a", 0)
	})
	t.Run("learners are logged as they come and go", func(t *testing.T) {
		b := newWatchBench()
		learner := ctquorum.Peer{Name: "f", Incarnation: 9}
		b.play(time.Second, leading(0))
		b.play(time.Second, leading(0, learner))
		assertLines(t, b, "learner_added", 1, `"name":"f","incarnation":9,"why":"asked_to_join"`)
		assertWatchMetric(t, b, "control_log_lag_entries", "f", 12)
		b.play(time.Second, leading(0))
		assertLines(t, b, "learner_removed", 1, `"name":"f","incarnation":9,"why":"silent"`)
		b.play(time.Second, leading(0, learner))
		voting := leading(0)
		voting.Voters = append(voting.Voters, ctquorum.PeerStatus{Peer: learner})
		b.play(time.Second, voting)
		assertLines(t, b, "learner_removed", 2, `"why":"became_voter"`)
	})
}

// assertWatchMetric checks the series of a metric whose only label has a value.
func assertWatchMetric(t *testing.T, b *watchBench, name, label string, want float64) {
	t.Helper()
	families, err := b.registry.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "cherviltrestle_"+name && m.GetLabel()[0].GetValue() == label {
				assert.Equal(t, m.GetGauge().GetValue()+m.GetCounter().GetValue(), want)
				return
			}
		}
	}
	t.Errorf("no series %s of %s", label, name)
}
