package ctuplink_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctuplink"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// errRefused is the error of a process that does not run.
var errRefused = errors.New("connection refused")

// controlStub is control as a proxy's transport reaches it. It counts what is opened.
type controlStub struct {
	mutex   sync.Mutex
	down    bool
	opened  int
	watches int
	reports int
	// lapsed is what the last report said, and authorityTTL what replies grant.
	lapsed       bool
	authorityTTL time.Duration
	replies      map[ctview.Version]*ctview.Delta
	// deferrals and watchDeferrals are how many of the next reports and watches are deferred.
	deferrals, watchDeferrals int
	// leader is the only address whose process has a leader; the zero value if all have one. The
	// others name the processes in named.
	leader netip.AddrPort
	named  []ctid.Control
	// unjoined is a process that has not joined the others. reportsThere counts the reports to it.
	unjoined     netip.AddrPort
	reportsThere int
	// gone is a process that does not run.
	gone netip.AddrPort
	// quotas is what replies grant.
	quotas *ctview.QuotaGrant
}

// set changes the stub under its lock.
func (s *controlStub) set(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

func (s *controlStub) count(field *int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return *field
}

func (s *controlStub) Open(_ context.Context, address netip.AddrPort) (ctframe.Stream, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.opened++
	if s.down || address == s.gone {
		return nil, errRefused
	}
	return &streamStub{
		control: s, address: address, frames: make(chan ctframe.Frame, 1), closed: make(chan struct{}),
	}, nil
}

func (*controlStub) Disconnect(netip.AddrPort) {}

// streamStub answers each report, and each watch once there is a newer view.
type streamStub struct {
	control *controlStub
	address netip.AddrPort
	frames  chan ctframe.Frame
	once    sync.Once
	closed  chan struct{}
}

func (s *streamStub) Write(frame ctframe.Frame) error {
	s.frames <- frame
	return nil
}

func (s *streamStub) Close() { s.once.Do(func() { close(s.closed) }) }

func (s *streamStub) Read() (ctframe.Frame, error) {
	frame := <-s.frames
	for {
		reply, err := s.control.answer(s.address, frame)
		if reply != nil || err != nil {
			return reply, err
		}
		select {
		case <-s.closed:
			return nil, errRefused
		case <-time.After(time.Millisecond):
		}
	}
}

// answer returns the reply of a process to a frame, or nil for a watch without a newer view.
func (s *controlStub) answer(address netip.AddrPort, frame ctframe.Frame) (ctframe.Frame, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return nil, errRefused
	}
	switch f := frame.(type) {
	case *ctframe.Report:
		if address == s.unjoined {
			s.reportsThere++
			return &ctframe.Retry{After: time.Millisecond, Leaderless: true, Unjoined: true}, nil
		}
		if s.leader.IsValid() && address != s.leader {
			return &ctframe.Retry{After: time.Millisecond, Leaderless: true, Controls: s.named}, nil
		}
		if s.deferrals > 0 {
			s.deferrals--
			return &ctframe.Retry{After: time.Millisecond}, nil
		}
		s.reports++
		s.lapsed = f.Lapsed
		return &ctframe.ReportReply{Reply: ctview.Reply{
			Number: f.Number, AuthorityTTL: ctconfig.Duration(s.authorityTTL), Quotas: s.quotas,
		}}, nil
	case *ctframe.Watch:
		if s.watchDeferrals > 0 {
			s.watchDeferrals--
			return &ctframe.Retry{After: time.Millisecond}, nil
		}
		if delta, ok := s.replies[f.Version]; ok {
			s.watches++
			return &ctframe.ReportReply{Reply: ctview.Reply{Delta: delta}}, nil
		}
	}
	return nil, nil
}

// versions records the versions of the views that a subscriber received.
type versions struct {
	mutex sync.Mutex
	seen  []ctview.Version
}

func (v *versions) ApplyView(_ *ctlock.Held, view *ctview.View) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.seen = append(v.seen, view.Version)
}

func (v *versions) last() ctview.Version {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if len(v.seen) == 0 {
		return 0
	}
	return v.seen[len(v.seen)-1]
}

// noGroups is a proxy that uses no groups.
type noGroups struct{}

func (noGroups) GroupStatus(*ctlock.Held) ctuplink.GroupStatus { return ctuplink.GroupStatus{} }
func (noGroups) AddSample(*ctlock.Held, ctid.Group, time.Time, ctposition.Point) {
}

func startUplink(t *testing.T, control *controlStub, subscriber ctuplink.ViewSubscriber) *ctuplink.Uplink {
	t.Helper()
	return startUplinkWith(t, control, subscriber, nil)
}

// startUplinkWith is startUplink for a proxy that limits workspaces, unless quotas is nil.
func startUplinkWith(
	t *testing.T, control *controlStub, subscriber ctuplink.ViewSubscriber, quotas ctuplink.QuotaSource,
) *ctuplink.Uplink {
	t.Helper()
	u := newUplink(control, subscriber, quotas)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go u.Run(ctx)
	return u
}

// newUplink returns an uplink that does not run.
func newUplink(
	control *controlStub, subscriber ctuplink.ViewSubscriber, quotas ctuplink.QuotaSource,
) *ctuplink.Uplink {
	return ctuplink.New(ctuplink.Options{
		Self: ctview.Proxy{
			Name: "p", FailureDomain: "d", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1,
			State: ctserver.StateReady,
		},
		Seeds:             []netip.AddrPort{netip.MustParseAddrPort("127.0.0.2:1"), netip.MustParseAddrPort("127.0.0.3:1")},
		HeartbeatInterval: time.Second,
		State:             ctstate.New(),
		Groups:            noGroups{},
		Quotas:            quotas,
		Resolve: func(name ctid.Control) (netip.AddrPort, bool) {
			address, err := netip.ParseAddr(string(name))
			return netip.AddrPortFrom(address, 1), err == nil
		},
		Subscribers: []ctuplink.ViewSubscriber{subscriber},
		Transport:   control,
		Clock:       ctclock.System{},
		Logger:      zerolog.Nop(),
		Metrics:     ctmetric.New(prometheus.NewRegistry()),
	})
}

// eventually waits for a condition, for at most ten seconds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the condition was not met")
}

// TestControlLost guards against a storm of connections from a fleet that has lost control.
func TestControlLost(t *testing.T) {
	t.Run("changes do not make a proxy try more often", func(t *testing.T) {
		const attempts, triggers = 10, 1000
		control := &controlStub{down: true}
		u := startUplink(t, control, &versions{})
		eventually(t, func() bool { return control.count(&control.opened) >= attempts })
		before := control.count(&control.opened)
		for range triggers {
			u.TriggerReport()
		}
		assert.Assert(t, control.count(&control.opened) <= before+2)
	})
	t.Run("reports and watches go on once control is back", func(t *testing.T) {
		control := &controlStub{down: true, replies: map[ctview.Version]*ctview.Delta{0: {To: 1}}}
		seen := &versions{}
		startUplink(t, control, seen)
		eventually(t, func() bool { return control.count(&control.opened) > 2 })
		assert.Equal(t, seen.last(), ctview.Version(0))
		control.set(func() { control.down = false })
		eventually(t, func() bool { return seen.last() == 1 })
		control.set(func() { control.replies[1] = &ctview.Delta{From: 1, To: 2} })
		eventually(t, func() bool { return seen.last() == 2 })
	})
	t.Run("a proxy that reaches control has one stream for reports and one for watches", func(t *testing.T) {
		control := &controlStub{replies: map[ctview.Version]*ctview.Delta{0: {To: 1}}}
		seen := &versions{}
		u := startUplink(t, control, seen)
		eventually(t, func() bool { return seen.last() == 1 })
		for range 20 {
			before := control.count(&control.reports)
			u.TriggerReport()
			eventually(t, func() bool { return control.count(&control.reports) > before })
		}
		assert.Equal(t, control.count(&control.opened), 2)
	})
}

// TestDeferral guards against proxies that open new streams because a control process asks them to
// wait, and against one that waits at the same process forever.
func TestDeferral(t *testing.T) {
	views := map[ctview.Version]*ctview.Delta{0: {To: 1}}
	t.Run("a deferred report is sent again over the same stream, and so is a watch", func(t *testing.T) {
		control := &controlStub{replies: views, deferrals: 3, watchDeferrals: 10}
		seen := &versions{}
		startUplink(t, control, seen)
		eventually(t, func() bool { return seen.last() == 1 })
		assert.Equal(t, control.count(&control.deferrals)+control.count(&control.watchDeferrals), 0)
		assert.Equal(t, control.count(&control.opened), 2)
	})
	t.Run("the last report of a proxy is sent again", func(t *testing.T) {
		control := &controlStub{replies: views}
		u := startUplink(t, control, &versions{})
		eventually(t, func() bool { return control.count(&control.reports) > 0 })
		control.set(func() { control.deferrals = 3 })
		assert.NilError(t, u.Deregister(context.Background()))
		assert.Equal(t, control.count(&control.deferrals), 0)
	})
	t.Run("a proxy that is always deferred tries other processes", func(t *testing.T) {
		const many = 1_000_000
		control := &controlStub{replies: views, deferrals: many}
		startUplink(t, control, &versions{})
		eventually(t, func() bool { return control.count(&control.opened) > 2 })
	})
}

// TestSeedsWithoutLeader guards against a proxy that, after its start, knows its seeds alone and asks
// only them while another control process has the leader.
func TestSeedsWithoutLeader(t *testing.T) {
	const leader = "127.0.0.9"
	control := &controlStub{
		leader: netip.AddrPortFrom(netip.MustParseAddr(leader), 1),
		named:  []ctid.Control{"127.0.0.2", "127.0.0.8", leader, "no address"},
	}
	startUplink(t, control, &versions{})
	eventually(t, func() bool { return control.count(&control.reports) > 0 })
}

// TestUnjoinedControl guards against a proxy that waits at a control process which lost its disk and
// has not joined the others, while its authority expires.
func TestUnjoinedControl(t *testing.T) {
	seed := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), 1)
	control := &controlStub{unjoined: seed, replies: map[ctview.Version]*ctview.Delta{0: {To: 1}}}
	seen := &versions{}
	startUplink(t, control, seen)
	eventually(t, func() bool { return seen.last() == 1 && control.count(&control.reports) > 0 })
	assert.Equal(t, control.count(&control.reportsThere), 1)
}

// TestDeregisterWithoutFirstControl guards against a proxy that stops and whose last report is lost,
// because the first control process that it asks can't be reached or has no leader.
func TestDeregisterWithoutFirstControl(t *testing.T) {
	address := func(ip string) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(ip), 1) }
	for _, c := range []struct {
		name    string
		control *controlStub
	}{
		{"it can't be reached", &controlStub{gone: address("127.0.0.2")}},
		{"it has not joined the others", &controlStub{unjoined: address("127.0.0.2")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newUplink(c.control, &versions{}, nil)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			assert.NilError(t, u.Deregister(ctx))
			assert.Equal(t, c.control.count(&c.control.reports), 1)
		})
	}
	t.Run("no control process can be reached until the time is over", func(t *testing.T) {
		u := newUplink(&controlStub{down: true}, &versions{}, nil)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		assert.ErrorContains(t, u.Deregister(ctx), "refused")
	})
}

// TestLapsedAuthority guards against a report that doesn't tell control that the proxy may
// have missed changes of primaries.
func TestLapsedAuthority(t *testing.T) {
	control := &controlStub{}
	u := startUplink(t, control, &versions{})
	lapsed := func() bool {
		control.mutex.Lock()
		defer control.mutex.Unlock()
		return control.lapsed
	}
	t.Run("a proxy that never had authority reports so", func(t *testing.T) { eventually(t, lapsed) })
	t.Run("a proxy whose authority lasts does not", func(t *testing.T) {
		control.set(func() { control.authorityTTL = time.Hour })
		eventually(t, func() bool {
			u.TriggerReport()
			return !lapsed()
		})
	})
}

// recordedQuotas is a QuotaSource that lists one demand and records what is renewed.
type recordedQuotas struct {
	mutex sync.Mutex
	// reportedAt is when the last report was built.
	reportedAt time.Time
	renewed    []renewal
}

type renewal struct {
	reported []ctview.QuotaDemand
	grant    ctview.QuotaGrant
	// lifetime is the time from the report until the caps expire.
	lifetime time.Duration
}

func (q *recordedQuotas) QuotaDemands(_ *ctlock.Held, now time.Time) []ctview.QuotaDemand {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.reportedAt = now
	return []ctview.QuotaDemand{{Workspace: "w", Started: 3}}
}

func (q *recordedQuotas) RenewCaps(
	_ *ctlock.Held, reported []ctview.QuotaDemand, grant *ctview.QuotaGrant, expiresAt time.Time,
) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.renewed = append(q.renewed, renewal{reported: reported, grant: *grant, lifetime: expiresAt.Sub(q.reportedAt)})
}

func (q *recordedQuotas) renewals() []renewal {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return append([]renewal(nil), q.renewed...)
}

// TestQuotas guards against caps that outlast their lease, and against caps without a grant.
func TestQuotas(t *testing.T) {
	const ttl = time.Hour
	control, quotas := &controlStub{authorityTTL: time.Hour}, &recordedQuotas{}
	u := startUplinkWith(t, control, &versions{}, quotas)
	t.Run("a reply without a grant renews nothing", func(t *testing.T) {
		eventually(t, func() bool { return control.count(&control.reports) > 0 })
		assert.Equal(t, len(quotas.renewals()), 0)
	})
	t.Run("a grant counts from when the report was built, less the drift of clocks", func(t *testing.T) {
		grant := ctview.QuotaGrant{TTL: ctconfig.Duration(ttl), Caps: []ctview.QuotaCap{{Workspace: "w", Cap: 9}}}
		control.set(func() { control.quotas = &grant })
		eventually(t, func() bool {
			u.TriggerReport()
			return len(quotas.renewals()) > 0
		})
		first := quotas.renewals()[0]
		assert.DeepEqual(t, first.grant, grant)
		assert.DeepEqual(t, first.reported, []ctview.QuotaDemand{{Workspace: "w", Started: 3}})
		assert.Equal(t, first.lifetime, ctdrift.LowerBound(ttl))
	})
}
