package ctdiskloss

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctlonemember"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctnode"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

// Size of the system.
const (
	controlCount = 6
	seedCount    = 3
	proxyCount   = 2
	// maxDiskLosses is how many control processes may lose their disks at once.
	maxDiskLosses = 2
)

// Ports, the same on all addresses.
const (
	peerPort      = 7440
	callerPort    = 8784
	readinessPort = 8785
	operatorPort  = 8786
	memberPort    = 8787
	promoterPort  = 8788
)

// Kinds of addresses: their third byte.
const (
	ownAddresses = iota
	controlAddresses
	proxyAddresses
	memberAddresses
)

// Settings of the processes.
const (
	stopTimeout    = 6 * time.Second
	applyTimeout   = 4 * time.Second
	memoryLimitMB  = 280
	reportInterval = time.Second
	reportTimeout  = time.Second
	// startTimeout bounds the start of the system.
	startTimeout = time.Minute
	pollInterval = 20 * time.Millisecond
)

// Options are the settings of a System.
type Options struct {
	// BinFolder has the program. Folder receives settings, data and logs.
	BinFolder, Folder string
	// Logger receives the steps of a run.
	Logger zerolog.Logger
}

// System is the control processes, the proxies and the member.
type System struct {
	Options
	controls, proxies []*process
	// replacements counts the control processes that have replaced others.
	replacements int
	operator     operator
	stalls       stalls
	violations   []Violation

	subnet    ctfleet.Subnet
	listeners []net.Listener
	stop      context.CancelFunc
}

// Start starts a system and waits until callers are served and the voters are complete. The caller
// closes it.
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
	subnet, lock, err := ctfleet.ReserveSubnet()
	if err != nil {
		return err
	}
	s.subnet, s.listeners = subnet, append(s.listeners, lock)
	if err := s.startMember(ctx); err != nil {
		return err
	}
	go s.stalls.run(ctx, filepath.Join(s.Folder, "probe"))
	s.addProcesses()
	for _, p := range s.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return s.awaitStart(ctx)
}

// awaitStart waits until the system is complete and serves callers.
func (s *System) awaitStart(ctx context.Context) error {
	send := s.operator.newChange()
	if !await(ctx, func(ctx context.Context) bool { return send(ctx, s.controls) }) {
		return errors.Errorf("the first configuration was not acknowledged in %s", startTimeout)
	}
	if !await(ctx, s.serves) {
		return errors.Errorf("callers were not served in %s", startTimeout)
	}
	if !await(ctx, func(context.Context) bool { return s.unjoined() == "" }) {
		return errors.Errorf("in %s: %s", startTimeout, s.unjoined())
	}
	return nil
}

// startMember starts the member, which reports to all control processes in turn until ctx ends.
func (s *System) startMember(ctx context.Context) error {
	address := netip.AddrPortFrom(s.subnet.Address(memberAddresses, 1), memberPort)
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return errors.Wrap(err, "open the member's address")
	}
	s.listeners = append(s.listeners, listener)
	go ctlonemember.New(listener).Serve()
	go s.reportMember(ctx, address)
	return nil
}

func (s *System) reportMember(ctx context.Context, address netip.AddrPort) {
	var client platform.ExternalClient
	incarnation := ctid.Incarnation(time.Now().UnixMilli())
	for sequence, control := uint64(1), 1; ctx.Err() == nil; sequence++ {
		to := netip.AddrPortFrom(s.subnet.Address(controlAddresses, control), operatorPort)
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		ok, err := client.Report(callCtx, to, ctserver.Announcement{
			Group: groupName, Member: "m-0", FailureDomain: domainName(0), Address: address, Slots: ctlonemember.Slots,
			Role: ctserver.RolePrimary, State: ctserver.StateReady, Incarnation: incarnation, Sequence: sequence,
		})
		cancel()
		if err != nil || !ok {
			control = control%controlCount + 1
		}
		sleep(ctx, reportInterval)
	}
}

// newControl prepares the control process of a number. Those after the first controlCount replace others.
func (s *System) newControl(i int) *process {
	settings := s.settings("control", controlAddresses, i)
	settings.OperatorAddress = netip.AddrPortFrom(settings.IP, operatorPort)
	settings.PromoterAddress = netip.AddrPortFrom(s.subnet.Address(ownAddresses, 1), promoterPort)
	settings.DataFolder = filepath.Join(s.Folder, "data-"+settings.Name)
	p := s.newProcess("control", settings)
	p.isSeed = i < seedCount
	return p
}

// replace prepares a control process at an address of its own in place of one that is gone for good, and
// returns it.
func (s *System) replace(gone *process) *process {
	s.replacements++
	p := s.newControl(controlCount + s.replacements - 1)
	p.settings.FailureDomain, p.settings.Bootstrap = gone.settings.FailureDomain, false
	p.lostAt = gone.lostAt
	s.controls[slices.Index(s.controls, gone)] = p
	return p
}

// addProcesses prepares the control processes and proxies.
func (s *System) addProcesses() {
	for i := range controlCount {
		s.controls = append(s.controls, s.newControl(i))
	}
	for i := range proxyCount {
		settings := s.settings("proxy", proxyAddresses, i)
		settings.CallerAddress = netip.AddrPortFrom(settings.IP, callerPort)
		settings.ReadinessAddress = netip.AddrPortFrom(settings.IP, readinessPort)
		s.proxies = append(s.proxies, s.newProcess("proxy", settings))
	}
}

// settings returns the settings of a process that both roles have.
func (s *System) settings(role string, kind, i int) ctnode.Settings {
	settings := ctnode.Settings{
		Name: fmt.Sprintf("%s-%d", role, i), IP: s.subnet.Address(kind, i+1), FailureDomain: domainName(i),
		PeerPort: peerPort, Bootstrap: true, MaxDiskLosses: maxDiskLosses, ApplyTimeout: applyTimeout,
		StopTimeout: stopTimeout, MemoryMB: memoryLimitMB,
	}
	for seed := range seedCount {
		settings.Seeds = append(settings.Seeds, s.subnet.Address(controlAddresses, seed+1))
	}
	return settings
}

func domainName(i int) ctid.FailureDomain {
	return ctid.FailureDomain(fmt.Sprintf("domain-%d", i))
}

// processes returns all control processes and proxies.
func (s *System) processes() []*process {
	return append(append([]*process(nil), s.controls...), s.proxies...)
}

// Close kills all processes and closes all listeners.
func (s *System) Close() {
	s.stop()
	for _, p := range s.processes() {
		p.Kill()
	}
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// await repeats a check until it succeeds, and returns false after startTimeout.
func await(ctx context.Context, succeeds func(ctx context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !succeeds(ctx) {
		if !sleep(ctx, pollInterval) {
			return false
		}
	}
	return true
}

// sleep waits, and returns false if ctx ended before.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
