package ctstartup_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcontrol"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctuplink"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctjournal"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

const (
	fleetControls = 6
	// waitLimit is how long a test waits for a condition, on any machine.
	waitLimit = 2 * time.Minute
)

// fleet is control and proxies' uplinks in this process, over connections of this machine.
type fleet struct {
	t        *testing.T
	folders  []string
	port     uint16
	services []*ctcontrol.Service
	metrics  []*ctmetric.Control
	states   []*ctstate.State
	// closers end the processes.
	closers []func()
}

// noGroups is a proxy without callers.
type noGroups struct{}

func (noGroups) GroupStatus(*ctlock.Held) ctuplink.GroupStatus                   { return ctuplink.GroupStatus{} }
func (noGroups) AddSample(*ctlock.Held, ctid.Group, time.Time, ctposition.Point) {}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t}
	for range fleetControls {
		f.folders = append(f.folders, t.TempDir())
	}
	listener, err := cttcp.Listen(netip.AddrPortFrom(controlIP(0), 0))
	assert.NilError(t, err)
	f.port = listener.Address().Port()
	assert.NilError(t, listener.Close())
	return f
}

// controlIP returns the address of a control process.
func controlIP(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 9, 0, byte(i + 1)})
}

func (f *fleet) resolve(name ctid.Control) (netip.AddrPort, bool) {
	address, err := netip.ParseAddr(string(name))
	return netip.AddrPortFrom(address, f.port), err == nil
}

// start starts all processes at once.
func (f *fleet) start(bootstrap bool, proxies int) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f.closers = append(f.closers, cancel)
	f.services, f.metrics, f.states = nil, nil, nil
	for i := range proxies {
		f.startProxy(ctx, i)
	}
	for i := range fleetControls {
		f.startControl(ctx, i, bootstrap)
	}
}

// stop ends all processes at once.
func (f *fleet) stop() {
	for _, end := range f.closers {
		end()
	}
	f.closers = nil
}

func (f *fleet) startControl(ctx context.Context, i int, bootstrap bool) {
	f.t.Helper()
	journal, err := ctjournal.Open(f.folders[i])
	assert.NilError(f.t, err)
	f.closers = append(f.closers, func() { _ = journal.Close() })
	var seeds []ctid.Control
	for j := range fleetControls {
		seeds = append(seeds, ctid.Control(controlIP(j).String()))
	}
	metrics := ctmetric.NewControl(prometheus.NewRegistry())
	service, err := ctcontrol.NewService(ctcontrol.ServiceOptions{
		Name: seeds[i], Seeds: seeds, Bootstrap: bootstrap, MaxDiskLosses: 2, Journal: journal,
		Transport: cttcp.Transport{LocalAddress: controlIP(i)}, Resolve: f.resolve,
		DecodeConfig: func(source []byte) (ctconfig.Document, error) {
			var document ctconfig.Document
			return document, json.Unmarshal(source, &document)
		},
		Clock: ctclock.System{}, Logger: zerolog.Nop(), Metrics: metrics,
	})
	assert.NilError(f.t, err)
	listener, err := cttcp.Listen(netip.AddrPortFrom(controlIP(i), f.port))
	assert.NilError(f.t, err)
	listener.Admit = service.AdmitConnection
	f.closers = append(f.closers, func() { _ = listener.Close() })
	assert.NilError(f.t, service.Start(ctx))
	go func() {
		_ = listener.Serve(ctx, func(cttcp.Failure) {}, func(ctx context.Context, stream *cttcp.Stream) {
			defer context.AfterFunc(ctx, stream.Close)()
			service.Serve(ctx, stream)
		})
	}()
	f.services, f.metrics = append(f.services, service), append(f.metrics, metrics)
}

// tcpTransport is the transport of a proxy.
type tcpTransport struct {
	cttcp.Transport
}

func (f *fleet) startProxy(ctx context.Context, i int) {
	state := ctstate.New()
	f.states = append(f.states, state)
	var seeds []netip.AddrPort
	for j := range fleetControls {
		seeds = append(seeds, netip.AddrPortFrom(controlIP(j), f.port))
	}
	address := netip.AddrFrom4([4]byte{127, 9, byte(1 + i/250), byte(1 + i%250)})
	uplink := ctuplink.New(ctuplink.Options{
		Self: ctview.Proxy{
			Name: ctid.Proxy(address.String()), FailureDomain: ctid.FailureDomain(fmt.Sprintf("d%d", i%fleetControls)),
			Address: netip.AddrPortFrom(address, f.port), Incarnation: ctid.Incarnation(time.Now().UnixNano()),
			State: ctserver.StateReady,
		},
		Seeds: seeds, HeartbeatInterval: 400 * time.Millisecond, WatchTimeout: 3500 * time.Millisecond, State: state,
		Groups: noGroups{}, Resolve: f.resolve, Transport: tcpTransport{cttcp.Transport{LocalAddress: address}},
		Clock: ctclock.System{}, Logger: zerolog.Nop(), Metrics: ctmetric.New(prometheus.NewRegistry()),
	})
	go uplink.Run(ctx)
}

// publish puts the fleet's configuration into force.
func (f *fleet) publish() {
	f.t.Helper()
	document := ctconfig.Document{}
	for i := range 8 {
		document.Groups = append(document.Groups, ctconfig.Group{
			Name: ctid.Group(fmt.Sprintf("g%d", i)), Size: 3, Promotion: ctconfig.PromotionExternal,
		})
	}
	source, err := json.Marshal(document)
	assert.NilError(f.t, err)
	f.await("the configuration", func() bool { return f.services[0].Publish(context.Background(), 1, source) == nil })
}

// await waits until a condition is met.
func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > waitLimit {
			f.t.Fatalf("%s was not reached", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Logf("%s after %v", what, time.Since(begin))
}

// serving reports whether all proxies have authority and the configuration.
func (f *fleet) serving() bool {
	var held ctlock.Held
	for _, state := range f.states {
		if !time.Now().Before(state.AuthorityExpiry(&held)) || state.View(&held).Config.Revision == 0 {
			return false
		}
	}
	return true
}

// logMetrics logs what the control processes have accepted, served, rejected and dropped.
func (f *fleet) logMetrics() {
	for i, m := range f.metrics {
		line := fmt.Sprintf("connections %v", testutil.ToFloat64(m.Connections.WithLabelValues("accepted")))
		for _, work := range []string{"first_report", "renewal", "view"} {
			for _, decision := range []string{"served", "rejected", "dropped"} {
				line += fmt.Sprintf(", %s %s %v", work, decision, testutil.ToFloat64(m.Intake.WithLabelValues(work, decision)))
			}
		}
		f.t.Logf("control %d: %s", i, line)
	}
}

// TestFleet guards against real control processes and uplinks that don't get a fleet's authority
// back after all of them have started, or were killed, at once.
func TestFleet(t *testing.T) {
	const proxies = 300
	f := newFleet(t)
	f.start(true, proxies)
	f.publish()
	f.await("authority after the first start", f.serving)
	f.logMetrics()
	f.stop()
	f.start(false, proxies)
	f.await("authority after a kill of all", f.serving)
	f.logMetrics()
	f.stop()
}
