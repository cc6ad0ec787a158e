package ctcontrol

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctintake"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// rawStub is a stream that brings the given frames and then ends. It records the replies.
type rawStub struct {
	frames  []ctframe.Raw
	replies []ctframe.Frame
}

func (s *rawStub) Write(frame ctframe.Frame) error {
	s.replies = append(s.replies, frame)
	return nil
}

func (s *rawStub) ReadRaw() (ctframe.Raw, error) {
	if len(s.frames) == 0 {
		return ctframe.Raw{}, io.EOF
	}
	next := s.frames[0]
	s.frames = s.frames[1:]
	return next, nil
}

func (*rawStub) Read() (ctframe.Frame, error) { return nil, errors.New("the frame was decoded") }
func (*rawStub) Close()                       {}

// rawFrame returns a frame that waited in the kernel for a time.
func rawFrame(t *testing.T, frame ctframe.Frame, waited time.Duration) ctframe.Raw {
	t.Helper()
	data, err := ctframe.Encode(frame)
	assert.NilError(t, err)
	raw, err := ctframe.ReadRaw(bytes.NewReader(data), nil)
	assert.NilError(t, err)
	raw.Waited = waited
	return raw
}

// newFollower returns a control process that does not lead and gets no replies from the leader.
// Its intake has one slot, for which nobody may be expected to wait.
func newFollower(t *testing.T) *Service {
	t.Helper()
	s := &Service{
		ServiceOptions: ServiceOptions{
			Name: "10.0.0.1", Seeds: []ctid.Control{"10.0.0.1", "10.0.0.2"}, Clock: &ctclock.Manual{},
			Logger: zerolog.Nop(), Metrics: ctmetric.NewControl(prometheus.NewRegistry()),
			Resolve: func(name ctid.Control) (netip.AddrPort, bool) {
				return netip.AddrPortFrom(netip.MustParseAddr(string(name)), 1), true
			},
		},
		control: New(Options{Name: "10.0.0.1", Clock: &ctclock.Manual{}}),
		replica: &Replica{links: links{table: cttable.Table[ctid.Control, link]{Rank: ctlock.RankLinks}}},
		views:   newViewRelay(),
	}
	s.replica.node.Rank = ctlock.RankQuorum
	setLog(s, ctquorum.BootstrapVoters([]ctquorum.Peer{{Name: s.Name, Incarnation: 1}}))
	s.startIntake()
	queue := ctintake.Queue{Slots: 1, HandlingTime: time.Second}
	s.frames = newIntake(s.Clock, &s.Logger, s.Metrics, queue)
	s.transfers = newIntake(s.Clock, &s.Logger, s.Metrics, queue)
	s.reports = newBatcher(s.Clock, relayTimeout, func(context.Context, []ctview.Report) ([]ctview.Reply, error) {
		return nil, errors.New("no leader")
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.reports.run(ctx)
	return s
}

// setLog replaces the durable state of the replicated log.
func setLog(s *Service, state ctquorum.PersistentState) {
	var held ctlock.Held
	s.replica.node.With(&held, func(n **ctquorum.Node) {
		self := ctquorum.Peer{Name: s.Name, Incarnation: 1}
		*n = ctquorum.New(s.Clock.Now(), self, state, nil, systemRandom{})
	})
}

// useSlot takes the only slot of an intake.
func useSlot(t *testing.T, i *intake) *slot {
	t.Helper()
	var held ctlock.Held
	_, taken := i.enter(context.Background(), &held, ctintake.Arrival{Work: ctintake.Call{}})
	assert.Assert(t, taken != nil)
	return taken
}

// serve serves a stream with the given frames until it ends, and returns the replies.
func serve(s *Service, frames ...ctframe.Raw) []ctframe.Frame {
	stream := &rawStub{frames: frames}
	s.Serve(context.Background(), stream)
	return stream.replies
}

// assertRetry checks that the only reply asks the proxy to call again.
func assertRetry(t *testing.T, replies []ctframe.Frame, leaderless bool) {
	t.Helper()
	assert.Equal(t, len(replies), 1)
	retry, ok := replies[0].(*ctframe.Retry)
	assert.Assert(t, ok, "%T", replies[0])
	assert.Assert(t, retry.After > 0 && retry.Leaderless == leaderless)
}

func testReport() *ctframe.Report {
	report := &ctframe.Report{}
	report.Proxy = ctview.Proxy{
		Name: "p", FailureDomain: "d", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1, State: "ready",
	}
	return report
}

// TestServe guards against a control process that works on reports which it can't answer in time.
func TestServe(t *testing.T) {
	t.Run("a report that would wait for too long is rejected", func(t *testing.T) {
		s := newFollower(t)
		useSlot(t, s.frames)
		assertRetry(t, serve(s, rawFrame(t, testReport(), 0)), false)
	})
	t.Run("a rejected report is not decoded, and the stream stays open", func(t *testing.T) {
		s := newFollower(t)
		useSlot(t, s.frames)
		invalid := rawFrame(t, &ctframe.Report{}, 0)
		_, err := invalid.Decode()
		assert.Assert(t, err != nil)
		assert.Equal(t, len(serve(s, invalid, invalid)), 2)
	})
	t.Run("a report whose proxy has given up is not answered", func(t *testing.T) {
		assert.Equal(t, len(serve(newFollower(t), rawFrame(t, testReport(), ctframe.ReportTimeout))), 0)
	})
	t.Run("a message of the replicated log needs no slot", func(t *testing.T) {
		s := newFollower(t)
		useSlot(t, s.frames)
		message := ctframe.NewQuorum(ctquorum.Peer{Name: "a"}, ctquorum.Peer{Name: "b"}, ctquorum.VoteRequest{})
		assert.Equal(t, len(serve(s, rawFrame(t, message, 0))), 0)
	})
	t.Run("a report without a leader's reply is to be sent again over the same stream", func(t *testing.T) {
		s := newFollower(t)
		assertRetry(t, serve(s, rawFrame(t, testReport(), 0)), true)
	})
	t.Run("its reply names the control processes that the proxy may ask instead", func(t *testing.T) {
		s := newFollower(t)
		voters := []ctquorum.Peer{{Name: s.Name, Incarnation: 1}, {Name: "10.0.0.7", Incarnation: 1}}
		setLog(s, ctquorum.BootstrapVoters(voters))
		replies := serve(s, rawFrame(t, testReport(), 0))
		assertRetry(t, replies, true)
		retry, ok := replies[0].(*ctframe.Retry)
		assert.Assert(t, ok)
		assert.DeepEqual(t, retry.Controls, []ctid.Control{s.Name, "10.0.0.7"})
	})
	t.Run("its slot is free again", func(t *testing.T) {
		s := newFollower(t)
		serve(s, rawFrame(t, testReport(), 0))
		useSlot(t, s.frames)
	})
}

// TestServeViews guards against whole views for all proxies at once, none of which arrives in time.
func TestServeViews(t *testing.T) {
	s := newFollower(t)
	var held ctlock.Held
	reply := &ctframe.ReportReply{Reply: ctview.Reply{Delta: &ctview.Delta{To: 1}}}
	assert.NilError(t, s.views.apply(&held, reply))
	watch := rawFrame(t, &ctframe.Watch{}, 0)
	assertView := func(t *testing.T, replies []ctframe.Frame) {
		t.Helper()
		assert.Equal(t, len(replies), 1)
		_, ok := replies[0].(*ctframe.ReportReply)
		assert.Assert(t, ok, "%T", replies[0])
	}
	t.Run("a proxy gets it", func(t *testing.T) { assertView(t, serve(s, watch)) })
	taken := useSlot(t, s.transfers)
	t.Run("another one is to watch again while it is on its way", func(t *testing.T) {
		assertRetry(t, serve(s, watch), false)
	})
	t.Run("a control process gets it at once", func(t *testing.T) {
		assertView(t, serve(s, rawFrame(t, &ctframe.Watch{Mirror: true}, 0)))
	})
	t.Run("the other one gets it after that", func(t *testing.T) {
		taken.release(&held)
		assertView(t, serve(s, watch))
	})
}

// TestAdmitConnection guards against connections that keep a control process from everything
// else, and against a bound that keeps control processes from each other.
func TestAdmitConnection(t *testing.T) {
	s := newFollower(t)
	proxy, control := netip.MustParseAddr("10.0.1.1"), netip.MustParseAddr("10.0.0.2")
	for range ctintake.AcceptBurst {
		assert.Assert(t, s.AdmitConnection(proxy))
	}
	assert.Assert(t, !s.AdmitConnection(proxy))
	assertKnown(t, s, control)
	joining := netip.MustParseAddr("10.0.0.7")
	assert.Assert(t, s.AdmitConnection(joining))
	assert.Assert(t, !s.AdmitConnection(joining))
}

// assertKnown checks that an address connects beyond the bound as that of a control process: any
// address may have a first connection, and only those have a second one.
func assertKnown(t *testing.T, s *Service, address netip.Addr) {
	t.Helper()
	for range 2 {
		assert.Assert(t, s.AdmitConnection(address))
	}
}

// exhaust connects from a proxy until it is turned away.
func exhaust(s *Service) {
	for s.AdmitConnection(netip.MustParseAddr("10.0.1.1")) {
	}
}

// TestAdmitControl guards against control processes that are turned away among many proxies, because
// they are neither voters nor seeds of the settings at the start.
func TestAdmitControl(t *testing.T) {
	other := ctquorum.Peer{Name: "10.0.0.7", Incarnation: 1}
	address := netip.MustParseAddr(string(other.Name))
	for _, c := range []struct {
		name  string
		learn func(s *Service, held *ctlock.Held)
	}{
		{"a process that sends messages, as one that joins or receives the log", func(s *Service, _ *ctlock.Held) {
			s.replica.links.addReceived(s.Clock.Now(), other.Name, ctquorum.JoinRequest{}, false)
		}},
		{"a seed of the settings now in force", func(s *Service, _ *ctlock.Held) {
			s.SetSeeds([]ctid.Control{other.Name})
		}},
		{"the leader, known to a process that lost its disk by name", func(s *Service, held *ctlock.Held) {
			setLog(s, ctquorum.PersistentState{})
			s.replica.node.With(held, func(n **ctquorum.Node) {
				(*n).Step(s.Clock.Now(), ctquorum.Misaddressed{From: other})
				(*n).Step(s.Clock.Now(), ctquorum.Tick{})
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFollower(t)
			var held ctlock.Held
			c.learn(s, &held)
			exhaust(s)
			assertKnown(t, s, address)
		})
	}
}
