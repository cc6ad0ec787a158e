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
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstutter"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctnode"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

// Ports of the fleet. Hosts share the port numbers, since each host has loopback addresses
// of its own.
const (
	// networkLockPort serves nothing. A fleet listens on it to reserve its network.
	networkLockPort = 7439
	peerPort        = 7440
	callerPort      = 8784
	readinessPort   = 8785
	operatorPort    = 8786
	memberPort      = 8787
	promotionPort   = 8788
)

// Limits in the settings of the processes.
const (
	// stopTimeout is how long a planned stop may take.
	stopTimeout = 6 * time.Second
	// maxDiskLosses is how many control processes may lose their disks at once.
	maxDiskLosses = 1
	// memoryLimitMB is the memory that each process may use.
	memoryLimitMB = 206
)

// host is a proxy or control process with its addresses. Its relay listens on relayIP,
// where its peers connect, and forwards to processIP, where the process listens.
type host struct {
	Host
	domain             ctid.FailureDomain
	relayIP, processIP netip.Addr
	process            *ctfleet.Process
	settings           ctnode.Settings
	settingsFile       string

	mutex sync.Mutex
	// shouldRun is set from a start of the process until it is stopped or killed on
	// purpose.
	shouldRun bool
	// ongoingFaults is how many faults of the host are in progress.
	ongoingFaults int
	// starts counts the starts of the process.
	starts int
	// lastFault is when a fault of the host last began or ended.
	lastFault time.Time
	// lastStop is when a planned stop last began.
	lastStop time.Time
}

// Fleet is a fleet of real processes with its simulated members, relays and promotion
// service.
type Fleet struct {
	plan    Plan
	folder  string
	checker *Checker
	links   ctrelay.TCPNetwork
	// network is the second byte of all addresses of the fleet.
	network byte

	proxies, controls []*host
	groups            []*Group
	servers           []*server
	relays            []*ctrelay.TCPRelay
	// networkLock keeps the network reserved while it is open.
	networkLock net.Listener
	// promotionServer is nil before Start.
	promotionServer *http.Server
	requests        requestGate

	mutex sync.Mutex
	// lastFault is when an unplanned fault last began or ended anywhere, and
	// ongoingFaults is how many are in progress.
	lastFault     time.Time
	ongoingFaults int
}

// NewFleet prepares the hosts of a plan and starts their relays. It starts no processes.
// Settings, data and logs go to folder; binFolder has the program. The caller must call
// Close if there is no error.
func NewFleet(plan Plan, folder, binFolder string, checker *Checker) (*Fleet, error) {
	f := &Fleet{plan: plan, folder: folder, checker: checker}
	checker.holders.InTouch = f.requestsInTouch
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

// claimNetwork reserves a network of loopback addresses that no other fleet on this machine
// uses.
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

// address returns an address of the fleet's network.
func (f *Fleet) address(subnet, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network, byte(subnet), byte(number)})
}

// subnets has the third byte of the relays' addresses for each kind of host. The next
// number is that of the processes' addresses.
var subnets = map[Kind]int{KindControl: 1, KindProxy: 3, KindMember: 5}

// addresses returns the addresses of a host's relay and of its process.
func (f *Fleet) addresses(h Host) (relayIP, processIP netip.Addr) {
	return f.address(subnets[h.Kind], h.Number+1), f.address(subnets[h.Kind]+1, h.Number+1)
}

func domainName(i int) ctid.FailureDomain {
	return ctid.FailureDomain(fmt.Sprintf("domain-%d", i))
}

// newHost returns a host in the failure domain of the given number, with the settings of
// its process. It starts nothing.
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
		h.settings.ReadinessAddress = netip.AddrPortFrom(h.processIP, readinessPort)
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

// addRelay starts a relay that forwards a port of relayIP to the same port of processIP.
func (f *Fleet) addRelay(relayIP, processIP netip.Addr, port uint16) error {
	r, err := ctrelay.StartTCP(&f.links, netip.AddrPortFrom(relayIP, port), netip.AddrPortFrom(processIP, port))
	if err != nil {
		return err
	}
	f.relays = append(f.relays, r)
	return nil
}

// newGroups creates the groups and the relays and servers of their members.
func (f *Fleet) newGroups() error {
	shape := f.plan.Shape
	for i := range shape.Groups {
		var names []ctid.Member
		for j := range shape.Domains {
			names = append(names, ctid.Member(fmt.Sprintf("m-%d-%d", i, j)))
		}
		g := NewGroup(ctid.Group(fmt.Sprintf("group-%d", i)), names, shape.Slots, f.checker)
		g.stutter = ctstutter.NewPlan(f.plan.Seed+uint64(i), f.plan.StutterShare)
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

// processHosts returns the hosts of all control processes and proxies.
func (f *Fleet) processHosts() []*host {
	return append(append([]*host(nil), f.controls...), f.proxies...)
}

// processHost returns the host of a control process or proxy.
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

// controlAddresses returns the addresses at which control serves operators and members.
func (f *Fleet) controlAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, c := range f.controls {
		addresses = append(addresses, c.settings.OperatorAddress)
	}
	return addresses
}

// Start starts the promotion service, replication, the members and all processes. The
// replication and the members' reports go on until ctx ends.
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

// ClearFirstStart rewrites all settings files without the flag for a fleet's first start.
func (f *Fleet) ClearFirstStart() error {
	for _, h := range f.processHosts() {
		h.settings.Bootstrap = false
		if err := f.writeSettings(h); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes a host's settings file and creates its data folder.
func (f *Fleet) writeSettings(h *host) error {
	if h.settings.DataFolder != "" {
		if err := os.MkdirAll(h.settings.DataFolder, 0o700); err != nil {
			return errors.Wrap(err, "make a data folder")
		}
	}
	return errors.Wrap(os.WriteFile(h.settingsFile, []byte(platform.RenderSettings(h.settings)), 0o600), "write settings")
}

// promote handles a promotion request for a member of any group, at the end of a hold if the
// requests of its holder are held.
func (f *Fleet) promote(
	group ctid.Group, member ctid.Member, holder string, epoch ctquorum.Epoch,
) ctsuccession.PromotionOutcome {
	f.requests.awaitRelease(holder)
	for _, g := range f.groups {
		if g.name == group {
			return g.Promote(member, holder, epoch)
		}
	}
	return ctsuccession.PromotionRejected
}

// Close kills all processes and closes all listeners and relays.
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

// start starts the host's process unless it is running.
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

// startCount returns how many times the process was started.
func (h *host) startCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.starts
}

// recordFault records that a fault of the host begins or ends now.
func (h *host) recordFault() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lastFault = time.Now()
}

// undisturbedSince reports whether no fault of the host has begun or ended and no planned
// stop has begun since a time.
func (h *host) undisturbedSince(since time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.lastFault.Before(since) && h.lastStop.Before(since)
}

// recordOngoing records that a fault of the host begins (1) or ends (-1) now.
func (h *host) recordOngoing(change int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.ongoingFaults += change
	h.lastFault = time.Now()
}

// isDisturbed reports whether a fault of the host is in progress, or one has begun or ended or a
// planned stop has begun since a time.
func (h *host) isDisturbed(since time.Time) bool {
	h.mutex.Lock()
	ongoing := h.ongoingFaults > 0
	h.mutex.Unlock()
	return ongoing || !h.undisturbedSince(since)
}

// requestsInTouch reports whether neither a control process nor its promotion requests were
// disturbed since a time.
func (f *Fleet) requestsInTouch(control string, since time.Time) bool {
	for _, h := range f.controls {
		if h.String() == control {
			return !f.requests.isDisturbed(control, since) && !h.isDisturbed(since)
		}
	}
	return false
}

// inTouch reports whether neither a host nor any control process was disturbed since a time, and
// most control processes run.
func (f *Fleet) inTouch(h *host, since time.Time) bool {
	running := 0
	for _, c := range f.controls {
		if c.isDisturbed(since) {
			return false
		}
		if c.process.Running() {
			running++
		}
	}
	return 2*running > len(f.controls) && !h.isDisturbed(since)
}

// isStopping reports whether a planned stop of the host is the only disturbance of it since a time.
func (h *host) isStopping(since time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.ongoingFaults == 0 && h.lastFault.Before(since) && h.lastStop.After(since)
}

// stoppedAt returns when a planned stop of the host last began.
func (h *host) stoppedAt() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.lastStop
}

// beginUnplannedFault records that an unplanned fault begins. The caller must call end when
// the fault is over.
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

// faultFreeSince reports whether no unplanned fault was in progress anywhere since a time.
func (f *Fleet) faultFreeSince(since time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ongoingFaults == 0 && f.lastFault.Before(since)
}
