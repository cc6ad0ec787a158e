package ctcrowd

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctlonemember"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctnode"
	"github.com/cherviltrestle/cherviltrestle/platform"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

// Ports, the same on all addresses. Fleets of package ctheldlink use lockPort in the same way.
const (
	lockPort      = 7439
	peerPort      = 7440
	callerPort    = 8784
	readinessPort = 8785
	operatorPort  = 8786
	memberPort    = 8787
)

// The last bytes of the addresses.
const (
	lockHost = iota + 1
	controlHost
	proxyHost
	memberHost
)

const (
	groupName  ctid.Group         = "group-0"
	memberName ctid.Member        = "m-0"
	domain     ctid.FailureDomain = "domain-0"
	database   ctid.Database      = "database"
	release    ctid.Release       = 1
	// connections is how many connections the member accepts.
	connections = 40
	// statementTimeout is that of the route. Ordinary requests that fail are repeated.
	statementTimeout = 2 * time.Second
	stopTimeout      = 6 * time.Second
	applyTimeout     = 4 * time.Second
	reportInterval   = time.Second
	pollInterval     = 50 * time.Millisecond
	callTimeout      = 5 * time.Second
	// serviceTimeout is when a process counts as hung.
	serviceTimeout = 2 * time.Minute
)

// Options are the settings of a System. A limit of 0 means none.
type Options struct {
	// BinFolder has the program. Folder receives settings, data and logs.
	BinFolder, Folder string
	// Memory and Descriptors are the limits of each process.
	Memory      Megabytes
	Descriptors int
}

// Process is a process of a System.
type Process struct {
	*ctfleet.Process
}

// Usage returns what the process uses. It fails if the process has ended.
func (p Process) Usage() (Usage, error) {
	if !p.Running() {
		return Usage{}, errors.New(p.Name + " has ended")
	}
	return readUsage(p.Pid())
}

// System is a control process, a proxy and a member.
type System struct {
	Options
	Control, Proxy Process

	subnet    byte
	listeners []net.Listener
	stop      context.CancelFunc
}

// Start starts a system and waits until it serves a request. The caller closes it.
func Start(options Options) (*System, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &System{Options: options, stop: stop}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	if err := s.reserveAddresses(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", s.address(memberHost, memberPort).String())
	if err != nil {
		return errors.Wrap(err, "open the member's address")
	}
	s.listeners = append(s.listeners, listener)
	go ctlonemember.New(listener).Serve()
	if err := s.startControl(); err != nil {
		return err
	}
	if err := s.startProxy(); err != nil {
		return err
	}
	go s.reportMember(ctx)
	if err := s.publish(ctx); err != nil {
		return err
	}
	return s.AwaitServed(ctx)
}

// reserveAddresses chooses the second byte of all addresses.
func (s *System) reserveAddresses() error {
	const first, last = 20, 250
	for n := first; n <= last; n++ {
		s.subnet = byte(n)
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.subnet, 0, 1}),
			lockPort).String())
		if err == nil {
			s.listeners = append(s.listeners, listener)
			return nil
		}
	}
	return errors.New("all networks of loopback addresses are in use")
}

func (s *System) address(host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.subnet, 0, host}), port)
}

// CallerAddress is where the proxy serves clients.
func (s *System) CallerAddress() netip.AddrPort { return s.address(proxyHost, callerPort) }

// ProxyPeerAddress is where the proxy accepts streams of other processes.
func (s *System) ProxyPeerAddress() netip.AddrPort { return s.address(proxyHost, peerPort) }

// ControlPeerAddress is where the control process accepts streams of other processes.
func (s *System) ControlPeerAddress() netip.AddrPort { return s.address(controlHost, peerPort) }

// ReadinessAddress is where the proxy answers the load balancer's probes.
func (s *System) ReadinessAddress() netip.AddrPort { return s.address(proxyHost, readinessPort) }

// OperatorAddress is where the control process serves operators and members.
func (s *System) OperatorAddress() netip.AddrPort { return s.address(controlHost, operatorPort) }

// settings returns what the settings of both processes have in common.
func (s *System) settings(name string, host byte) ctnode.Settings {
	return ctnode.Settings{
		Name: name, IP: s.address(host, peerPort).Addr(), FailureDomain: domain, PeerPort: peerPort, Bootstrap: true,
		Seeds: []netip.Addr{s.address(controlHost, peerPort).Addr()}, ApplyTimeout: applyTimeout,
		StopTimeout: stopTimeout, MemoryMB: int(s.Memory), DescriptorLimit: s.Descriptors,
	}
}

func (s *System) startControl() error {
	settings := s.settings("control-0", controlHost)
	settings.OperatorAddress = s.OperatorAddress()
	settings.DataFolder = filepath.Join(s.Folder, "data")
	settings.PromoterAddress = s.address(lockHost, lockPort)
	if err := os.MkdirAll(settings.DataFolder, 0o700); err != nil {
		return errors.Wrap(err, "make the data folder")
	}
	var err error
	s.Control, err = s.startProcess("control", settings)
	return err
}

func (s *System) startProxy() error {
	settings := s.settings("proxy-0", proxyHost)
	settings.CallerAddress = s.CallerAddress()
	settings.ReadinessAddress = s.ReadinessAddress()
	var err error
	s.Proxy, err = s.startProcess("proxy", settings)
	return err
}

// startProcess writes the settings of a process and starts it.
func (s *System) startProcess(role string, settings ctnode.Settings) (Process, error) {
	file := filepath.Join(s.Folder, settings.Name+".conf")
	if err := os.WriteFile(file, []byte(platform.RenderSettings(settings)), 0o600); err != nil {
		return Process{}, errors.Wrap(err, "write settings")
	}
	p := ctfleet.NewProcess(settings.Name, filepath.Join(s.Folder, settings.Name+".log"),
		filepath.Join(s.BinFolder, "cherviltrestle"), []string{"platform", role},
		[]string{platform.SettingsPathVariable + "=" + file})
	return Process{p}, p.Start()
}

// reportMember reports the member to the control process until ctx ends.
func (s *System) reportMember(ctx context.Context) {
	var client platform.ExternalClient
	incarnation := ctid.Incarnation(time.Now().UnixMilli())
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, _ = client.Report(callCtx, s.OperatorAddress(), ctserver.Announcement{
			Group: groupName, Member: memberName, FailureDomain: domain, Address: s.address(memberHost, memberPort),
			Slots: ctlonemember.Slots, Role: ctserver.RolePrimary, State: ctserver.StateReady, Incarnation: incarnation,
			Sequence: sequence,
		})
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(reportInterval):
		}
	}
}

// publish sends the configuration until the control process acknowledges it.
func (s *System) publish(ctx context.Context) error {
	body, err := platform.RenderConfig(release, ctconfig.Document{
		Groups: []ctconfig.Group{{Name: groupName, Connections: connections}},
		Routes: []ctconfig.Route{{
			Name: "route", Database: database, Group: groupName, Freshness: ctconfig.FreshnessPrimary,
			StatementTimeout: ctconfig.Duration(statementTimeout), TargetLatency: ctconfig.Duration(statementTimeout),
		}},
	})
	if err != nil {
		return err
	}
	var client platform.ExternalClient
	return await(ctx, "control acknowledges the configuration", func(ctx context.Context) bool {
		status, err := client.Publish(ctx, s.OperatorAddress(), body)
		return err == nil && status == http.StatusOK
	})
}

// AwaitServed waits until the proxy answers an ordinary request, which is repeated until then.
func (s *System) AwaitServed(ctx context.Context) error {
	return await(ctx, "the proxy answers an ordinary request", func(ctx context.Context) bool {
		return s.Serves(ctx, "READ item")
	})
}

// Serves opens a session, sends statements one after another and reports whether all succeeded.
func (s *System) Serves(ctx context.Context, statements ...string) bool {
	return s.CountAccepted(ctx, statements...) == len(statements)
}

// CountAccepted opens a session, sends statements one after another and returns how many succeeded. It
// returns -1 if the session ended before the last of them was answered.
func (s *System) CountAccepted(ctx context.Context, statements ...string) int {
	caller, _, err := ctpeer.Dial(ctx, s.CallerAddress(), database)
	if err != nil || caller == nil {
		return -1
	}
	defer caller.Close()
	deadline, _ := ctx.Deadline()
	if caller.SetReadDeadline(deadline) != nil {
		return -1
	}
	accepted := 0
	for _, statement := range statements {
		if caller.Send("ordinary", statement) != nil {
			return -1
		}
		answer, err := caller.Receive()
		if err != nil {
			return -1
		}
		if answer.OK() {
			accepted++
		}
	}
	return accepted
}

// AwaitControlServed waits until the control process returns the configuration.
func (s *System) AwaitControlServed(ctx context.Context) error {
	var client platform.ExternalClient
	return await(ctx, "control returns the configuration", func(ctx context.Context) bool {
		current, _, err := client.CurrentConfig(ctx, s.OperatorAddress())
		return err == nil && current == release
	})
}

// Close kills the processes and closes the listeners.
func (s *System) Close() {
	s.stop()
	for _, p := range []Process{s.Control, s.Proxy} {
		if p.Process != nil {
			p.Kill()
		}
	}
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// await repeats a call until it succeeds. After serviceTimeout it returns an error with the name of
// what it waited for.
func await(ctx context.Context, name string, succeeds func(ctx context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, callTimeout)
		ok := succeeds(callCtx)
		cancelCall()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("it was not reached in %s that %s", serviceTimeout, name)
		case <-time.After(pollInterval):
		}
	}
}
