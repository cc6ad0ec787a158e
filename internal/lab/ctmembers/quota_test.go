package ctmembers_test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmembers"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctrecord"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcontrol"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlimits"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctuplink"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// quotaWindow is longer than any run of the test, so that all operations are in one window.
const quotaWindow = 10 * time.Minute

// hotCeiling is how many operations of the workspace "w0" may start.
const hotCeiling = 20

// controlTransport leads to a control process in this process. Frames are encoded on the way.
type controlTransport struct {
	control *ctcontrol.Control
}

func (c controlTransport) Open(context.Context, netip.AddrPort) (ctframe.Stream, error) {
	return &controlStream{control: c.control, replies: make(chan ctframe.Frame, 1), closed: make(chan struct{})}, nil
}

func (controlTransport) Disconnect(netip.AddrPort) {}

// controlStream answers reports. Watches have no answer.
type controlStream struct {
	control *ctcontrol.Control
	replies chan ctframe.Frame
	once    sync.Once
	closed  chan struct{}
}

func (s *controlStream) Close() { s.once.Do(func() { close(s.closed) }) }

func (s *controlStream) Write(frame ctframe.Frame) error {
	frame, err := passOn(frame)
	report, ok := frame.(*ctframe.Report)
	if err != nil || !ok {
		return err
	}
	var held ctlock.Held
	batch := s.control.HandleReportBatch(&held, &ctframe.ReportBatch{Reports: []ctview.Report{report.Report}})
	reply, err := passOn(&ctframe.ReportReply{Reply: batch.Replies[0]})
	s.replies <- reply
	return err
}

func (s *controlStream) Read() (ctframe.Frame, error) {
	select {
	case frame := <-s.replies:
		return frame, nil
	case <-s.closed:
		return nil, context.Canceled
	}
}

// passOn returns a frame as it arrives.
func passOn(frame ctframe.Frame) (ctframe.Frame, error) {
	data, err := ctframe.Encode(frame)
	if err != nil {
		return nil, err
	}
	return ctframe.Read(bytes.NewReader(data))
}

// marksOf returns marks that let a leader grant the whole limits of all workspaces.
func marksOf(document *ctconfig.Document, bounds ctquota.Bounds) map[ctid.Workspace]ctid.Operations {
	marks := make(map[ctid.Workspace]ctid.Operations)
	for _, w := range document.Workspaces {
		if w.Limit != nil {
			marks[w.Name] = bounds.Ceiling(*w.Limit)
		}
	}
	return marks
}

// limit gives the fixture's proxy, or the one that carries its queries, limits with caps from
// a control process that knows all that counts.
func (f *fixture) limit(t *testing.T, self ctview.Proxy) {
	t.Helper()
	var held ctlock.Held
	view := f.state.View(&held)
	bounds := ctquota.Bounds{Window: quotaWindow}
	control := ctcontrol.New(ctcontrol.Options{Name: "c", Clock: f.clock, Logger: zerolog.Nop(), Quotas: bounds})
	snapshot, err := ctrecord.EncodeRegister(&ctregister.Register{
		ConfigHistory: []ctconfig.AcceptedChange{{Revision: 1, Change: ctconfig.Change{
			ID: "first", Author: "test", Document: view.Config.Document,
		}}},
		QuotaMarks: marksOf(&view.Config.Document, bounds),
	})
	assert.NilError(t, err)
	assert.NilError(t, control.Restore(snapshot))
	control.BecomeLeader(1)
	f.clock.ahead.Add(int64(2 * quotaWindow))
	control.SetAuthority(f.clock.Now().Add(time.Hour))

	metrics := ctmetric.New(prometheus.NewRegistry())
	owner := f.pools
	if f.carrier != nil {
		owner = f.carrier
	}
	var uplink *ctuplink.Uplink
	limits := ctlimits.New(ctlimits.Options{
		Bounds: bounds, Owned: owner, Clock: f.clock, Logger: zerolog.Nop(), Metrics: metrics,
		TriggerReport: func() { uplink.TriggerReport() },
	})
	uplink = ctuplink.New(ctuplink.Options{
		Self: self, Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, HeartbeatInterval: 50 * time.Millisecond,
		State: f.state, Groups: f.gateway, Quotas: limits, Transport: controlTransport{control: control},
		Clock: f.clock, Logger: zerolog.Nop(), Metrics: metrics,
	})
	owner.Quotas = limits
	limits.ApplyView(&held, view)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go uplink.Run(ctx)
}

// withHotWorkspace declares workspaces of which the first has a limit of hotCeiling.
func withHotWorkspace(document *ctconfig.Document) {
	withWorkspaces(3)(document)
	document.Workspaces[0].Limit = &ctconfig.RateLimit{Burst: hotCeiling}
	document.Workspaces[1].Limit = &ctconfig.RateLimit{Burst: 100 * hotCeiling}
}

// A workspace that sends far more than its limit must not run more than that, must be told so
// truthfully, and must not harm other workspaces.
func TestHotWorkspace(t *testing.T) {
	const callersEach, operations = 4, 15
	for _, w := range []way{direct, forwarded} {
		t.Run(string(w), func(t *testing.T) {
			f := newConfiguredFixture(t, w, smallGroup, ctconfig.FreshnessBounded, withHotWorkspace)
			f.limit(t, newProxy(1, "d1"))
			var succeeded, refused atomic.Int64
			var done sync.WaitGroup
			for i := range callersEach {
				hot := f.connectAs(t, fmt.Sprintf("w0.%d", i), "w0")
				done.Add(1)
				go func() {
					defer done.Done()
					for range operations {
						answer, _ := hot.call(t, ctquery.Read{Item: "x"})
						if answer.OK() {
							succeeded.Add(1)
							continue
						}
						assert.Check(t, answer.Fault.NotRun(), "%s", answer.Fault)
						refused.Add(1)
					}
				}()
				for _, name := range []ctid.Workspace{"w1", "w2"} {
					other := f.connectAs(t, fmt.Sprintf("%s.%d", name, i), name)
					done.Add(1)
					go func() {
						defer done.Done()
						for n := range operations {
							f.runOperation(t, other, n)
						}
					}()
				}
			}
			done.Wait()
			assert.Assert(t, succeeded.Load() > 0 && succeeded.Load() <= hotCeiling, "%d", succeeded.Load())
			assert.Equal(t, succeeded.Load()+refused.Load(), int64(callersEach*operations))
			assert.Equal(t, countRan(f.group, "w0"), int(succeeded.Load()))
		})
	}
}

// countRan returns how many queries of a workspace's callers members have run.
func countRan(group *ctmembers.Group, workspace ctid.Workspace) int {
	count := 0
	for id := range group.Workspaces() {
		if strings.HasPrefix(string(id), string(workspace)+".") {
			count++
		}
	}
	return count
}
