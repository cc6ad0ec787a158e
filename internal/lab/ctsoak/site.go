package ctsoak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrelay"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctnode"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

// The ports of a site; each host has its own loopback address.
const (
	networkLockPort = 7439
	peerPort        = 7440
	callerPort      = 8784
	healthPort      = 8785
	operatorPort    = 8786
	memberPort      = 8787
	promotionPort   = 8788
)

// The bounds of a site.
const (
	// stopTimeout is how long a planned stop may take.
	stopTimeout = 6 * time.Second
	// maxDiskLosses is how many disks may be lost at once.
	maxDiskLosses = 1
	// memoryLimitMB is what processes are told they may use.
	memoryLimitMB = 206
)

// host is a process of the site with its addresses. Others reach it at front, where
// a relay stands, and it is at local.
type host struct {
	Host
	domain             ctid.FailureDomain
	relayIP, processIP netip.Addr
	process            *ctfleet.Process
	settings           ctnode.Settings
	settingsFile       string

	mutex sync.Mutex
	// shouldRun tells whether the process is to run, and boots how often it started.
	shouldRun bool
	starts    int
	// lastFault is when the newest fault of the host began or ended.
	lastFault time.Time
	// lastStop is when the newest planned stop began.
	lastStop time.Time
}

// Fleet is a fleet of real processes with the members and the services around it.
type Fleet struct {
	plan    Plan
	folder  string
	checker *Checker
	links   ctrelay.TCPNetwork
	network byte

	proxies, controls []*host
	groups            []*Group
	servers           []*server
	relays            []*ctrelay.TCPRelay
	networkLock       net.Listener
	promotionServer   *http.Server

	mutex sync.Mutex
	// lastFault is when the newest fault that was not planned began or ended anywhere,
	// and going how many go on.
	lastFault     time.Time
	ongoingFaults int
}

// NewFleet plans a site's hosts and opens its relays.
func NewFleet(plan Plan, folder, binFolder string, checker *Checker) (*Fleet, error) {
	f := &Fleet{plan: plan, folder: folder, checker: checker}
	if err := f.claimNetwork(); err != nil {
		return nil, err
	}
	for i := range plan.Shape.Domains {
		f.controls = append(f.controls, f.newHost(Host{KindControl, i}, i, binFolder))
	}
	for i := range plan.Shape.Domains * plan.Shape.Proxies {
		f.proxies = append(f.proxies, f.newHost(Host{KindProxy, i}, i%plan.Shape.Domains, binFolder))
	}
	for _, h := range f.processHosts() {
		for _, c := range f.controls {
			h.settings.Seeds = append(h.settings.Seeds, c.relayIP)
		}
		if err := f.addRelay(h.relayIP, h.processIP, peerPort); err != nil {
			return nil, err
		}
	}
	return f, f.newGroups()
}

// claimNetwork takes a network of loopback addresses that no other site uses.
func (f *Fleet) claimNetwork() error {
	const firstNet, lastNet = 20, 250
	for n := firstNet; n <= lastNet; n++ {
		f.network = byte(n)
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(f.address(0, 1), networkLockPort).String())
		if err == nil {
			f.networkLock = listener
			return nil
		}
	}
	return errors.New("all networks of loopback addresses are in use")
}

// address returns an address of the site's network.
func (f *Fleet) address(subnet, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network, byte(subnet), byte(number)})
}

// The parts of a site's network: each kind has one for its fronts and, after it, one
// for its processes.
var subnets = map[Kind]int{KindControl: 1, KindProxy: 3, KindMember: 5}

func (f *Fleet) addresses(h Host) (relayIP, processIP netip.Addr) {
	return f.address(subnets[h.Kind], h.Number+1), f.address(subnets[h.Kind]+1, h.Number+1)
}

func domainName(i int) ctid.FailureDomain {
	return ctid.FailureDomain(fmt.Sprintf("domain-%d", i))
}

func (f *Fleet) newHost(name Host, domain int, binFolder string) *host {
	h := &host{Host: name, domain: domainName(domain)}
	h.relayIP, h.processIP = f.addresses(name)
	h.settingsFile = filepath.Join(f.folder, name.String()+".conf")
	h.settings = ctnode.Settings{
		Name: name.String(), IP: h.relayIP, FailureDomain: h.domain, PeerPort: peerPort, Bootstrap: true,
		MaxDiskLosses: maxDiskLosses, ApplyTimeout: applyTimeout, StopTimeout: stopTimeout, MemoryMB: memoryLimitMB,
		PromoterAddress: netip.AddrPortFrom(f.address(0, 1), promotionPort),
	}
	if name.Kind == KindProxy {
		h.settings.CallerAddress = netip.AddrPortFrom(h.processIP, callerPort)
		h.settings.HealthAddress = netip.AddrPortFrom(h.processIP, healthPort)
	} else {
		h.settings.OperatorAddress = netip.AddrPortFrom(h.processIP, operatorPort)
		h.settings.DataFolder = filepath.Join(f.folder, "data-"+name.String())
	}
	h.process = ctfleet.NewProcess(name.String(), filepath.Join(f.folder, name.String()+".log"),
		filepath.Join(binFolder, "cherviltrestle"),
		[]string{"platform", string(name.Kind), "--local-ip", h.processIP.String()},
		[]string{platform.SettingsPathVariable + "=" + h.settingsFile})
	return h
}

// addRelay puts a relay before a host's port.
func (f *Fleet) addRelay(relayIP, processIP netip.Addr, port uint16) error {
	r, err := ctrelay.StartTCP(&f.links, netip.AddrPortFrom(relayIP, port), netip.AddrPortFrom(processIP, port))
	if err != nil {
		return err
	}
	f.relays = append(f.relays, r)
	return nil
}

// newGroups makes the groups and the servers of their members.
func (f *Fleet) newGroups() error {
	shape := f.plan.Shape
	for i := range shape.Groups {
		var names []ctid.Member
		for j := range shape.Domains {
			names = append(names, ctid.Member(fmt.Sprintf("m-%d-%d", i, j)))
		}
		g := NewGroup(ctid.Group(fmt.Sprintf("group-%d", i)), names, shape.Slots, f.checker)
		f.groups = append(f.groups, g)
		for j, m := range g.members {
			relayIP, processIP := f.addresses(Host{KindMember, i*shape.Domains + j})
			if err := f.addRelay(relayIP, processIP, memberPort); err != nil {
				return err
			}
			f.servers = append(f.servers, &server{
				member: m, originalName: m.name, domain: domainName(j),
				connectionLimit: shape.Connections, controlAddresses: f.controlAddresses,
				relayAddress: netip.AddrPortFrom(relayIP, memberPort), listenAddress: netip.AddrPortFrom(processIP, memberPort),
			})
		}
	}
	return nil
}

// processHosts returns the hosts of the system's own processes.
func (f *Fleet) processHosts() []*host {
	return append(append([]*host(nil), f.controls...), f.proxies...)
}

// processHost returns a host of the system's own processes.
func (f *Fleet) processHost(name Host) *host {
	if name.Kind == KindProxy {
		return f.proxies[name.Number]
	}
	return f.controls[name.Number]
}

// server returns the server of a member.
func (f *Fleet) server(name Host) *server {
	return f.servers[name.Number]
}

// controlAddresses returns where operators and members reach control.
func (f *Fleet) controlAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, c := range f.controls {
		addresses = append(addresses, c.settings.OperatorAddress)
	}
	return addresses
}

// Start starts everything.
func (f *Fleet) Start(ctx context.Context) error {
	address := netip.AddrPortFrom(f.address(0, 1), promotionPort)
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return errors.Wrap(err, "open the address for promotions")
	}
	f.promotionServer = &http.Server{Handler: platform.PromotionHandler(f.promote), ReadHeaderTimeout: time.Second}
	go func() { _ = f.promotionServer.Serve(listener) }()
	for _, g := range f.groups {
		go g.replicate(ctx.Done())
	}
	for _, v := range f.servers {
		if err := v.start(ctx); err != nil {
			return err
		}
	}
	for _, h := range f.processHosts() {
		if err := f.writeSettings(h); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// ClearFirstStart tells the settings files that the fleet has started once.
func (f *Fleet) ClearFirstStart() error {
	for _, h := range f.processHosts() {
		h.settings.Bootstrap = false
		if err := f.writeSettings(h); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes a host's settings file. The process reads it at its start.
func (f *Fleet) writeSettings(h *host) error {
	if h.settings.DataFolder != "" {
		if err := os.MkdirAll(h.settings.DataFolder, 0o700); err != nil {
			return errors.Wrap(err, "make a data folder")
		}
	}
	return errors.Wrap(os.WriteFile(h.settingsFile, []byte(platform.RenderSettings(h.settings)), 0o600), "write settings")
}

// promote takes an order to promote a member.
func (f *Fleet) promote(
	group ctid.Group, member ctid.Member, holder string, epoch ctquorum.Epoch,
) ctsuccession.PromotionOutcome {
	for _, g := range f.groups {
		if g.name == group {
			return g.Promote(member, holder, epoch)
		}
	}
	return ctsuccession.PromotionRejected
}

// Close ends all processes and closes all addresses.
func (f *Fleet) Close() {
	for _, h := range f.processHosts() {
		h.kill()
	}
	for _, v := range f.servers {
		if v.stopReporting != nil {
			v.shutDown()
		}
	}
	for _, r := range f.relays {
		r.Close()
	}
	if f.promotionServer != nil {
		_ = f.promotionServer.Close()
	}
	_ = f.networkLock.Close()
}

// start starts the host's process, unless it runs.
func (h *host) start() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.process.Running() {
		return nil
	}
	h.shouldRun = true
	h.starts++
	return h.process.Start()
}

// kill kills the host's process.
func (h *host) kill() {
	h.mutex.Lock()
	h.shouldRun = false
	h.mutex.Unlock()
	h.process.Kill()
}

// startCount returns how often the process has started.
func (h *host) startCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.starts
}

// recordFault notes that a fault of the host begins or ends.
func (h *host) recordFault() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lastFault = time.Now()
}

// undisturbedSince reports whether the host had no fault and no planned stop since a
// time.
func (h *host) undisturbedSince(since time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.lastFault.Before(since) && h.lastStop.Before(since)
}

// beginUnplannedFault notes that a fault that is not planned begins, and returns what ends it.
func (f *Fleet) beginUnplannedFault() (end func()) {
	update := func(change int) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.ongoingFaults += change
		f.lastFault = time.Now()
	}
	update(1)
	return func() { update(-1) }
}

// faultFreeSince reports whether no fault went on anywhere since a time.
func (f *Fleet) faultFreeSince(since time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ongoingFaults == 0 && f.lastFault.Before(since)
}
