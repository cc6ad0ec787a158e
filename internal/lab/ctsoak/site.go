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
	sitePort      = 7439
	peerPort      = 7440
	callerPort    = 8784
	healthPort    = 8785
	operatorPort  = 8786
	memberPort    = 8787
	promotionPort = 8788
)

// The bounds of a site.
const (
	// stopTime is how long a planned stop may take.
	stopTime = 6 * time.Second
	// losses is how many disks may be lost at once.
	losses = 1
	// memoryMB is what processes are told they may use.
	memoryMB = 206
)

// host is a process of the site with its addresses. Others reach it at front, where
// a relay stands, and it is at local.
type host struct {
	Host
	domain       ctid.FailureDomain
	front, local netip.Addr
	process      *ctfleet.Process
	settings     ctnode.Settings
	file         string

	mutex sync.Mutex
	// wanted tells whether the process is to run, and boots how often it started.
	wanted bool
	boots  int
	// disturbed is when the newest fault of the host began or ended.
	disturbed time.Time
	// stopping is when the newest planned stop began.
	stopping time.Time
}

// Fleet is a fleet of real processes with the members and the services around it.
type Fleet struct {
	plan   Plan
	folder string
	judge  *Checker
	links  ctrelay.TCPNetwork
	net    byte

	proxies, controls []*host
	groups            []*Group
	servers           []*server
	relays            []*ctrelay.TCPRelay
	lock              net.Listener
	promotions        *http.Server

	mutex sync.Mutex
	// disturbed is when the newest fault that was not planned began or ended anywhere,
	// and going how many go on.
	disturbed time.Time
	going     int
}

// NewFleet plans a site's hosts and opens its relays.
func NewFleet(plan Plan, folder, programs string, judge *Checker) (*Fleet, error) {
	s := &Fleet{plan: plan, folder: folder, judge: judge}
	if err := s.claim(); err != nil {
		return nil, err
	}
	for i := range plan.Shape.Domains {
		s.controls = append(s.controls, s.newHost(Host{KindControl, i}, i, programs))
	}
	for i := range plan.Shape.Domains * plan.Shape.Proxies {
		s.proxies = append(s.proxies, s.newHost(Host{KindProxy, i}, i%plan.Shape.Domains, programs))
	}
	for _, h := range s.hosts() {
		for _, c := range s.controls {
			h.settings.Seeds = append(h.settings.Seeds, c.front)
		}
		if err := s.relay(h.front, h.local, peerPort); err != nil {
			return nil, err
		}
	}
	return s, s.newGroups()
}

// claim takes a network of loopback addresses that no other site uses.
func (s *Fleet) claim() error {
	const firstNet, lastNet = 20, 250
	for n := firstNet; n <= lastNet; n++ {
		s.net = byte(n)
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(s.address(0, 1), sitePort).String())
		if err == nil {
			s.lock = listener
			return nil
		}
	}
	return errors.New("all networks of loopback addresses are in use")
}

// address returns an address of the site's network.
func (s *Fleet) address(part, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.net, byte(part), byte(number)})
}

// The parts of a site's network: each kind has one for its fronts and, after it, one
// for its processes.
var parts = map[Kind]int{KindControl: 1, KindProxy: 3, KindMember: 5}

func (s *Fleet) addresses(h Host) (front, local netip.Addr) {
	return s.address(parts[h.Kind], h.Number+1), s.address(parts[h.Kind]+1, h.Number+1)
}

func domainName(i int) ctid.FailureDomain {
	return ctid.FailureDomain(fmt.Sprintf("domain-%d", i))
}

func (s *Fleet) newHost(name Host, domain int, programs string) *host {
	h := &host{Host: name, domain: domainName(domain)}
	h.front, h.local = s.addresses(name)
	h.file = filepath.Join(s.folder, name.String()+".conf")
	h.settings = ctnode.Settings{
		Name: name.String(), IP: h.front, FailureDomain: h.domain, PeerPort: peerPort, Bootstrap: true,
		MaxDiskLosses: losses, ApplyTimeout: applyTime, StopTimeout: stopTime, MemoryMB: memoryMB,
		PromoterAddress: netip.AddrPortFrom(s.address(0, 1), promotionPort),
	}
	if name.Kind == KindProxy {
		h.settings.CallerAddress = netip.AddrPortFrom(h.local, callerPort)
		h.settings.HealthAddress = netip.AddrPortFrom(h.local, healthPort)
	} else {
		h.settings.OperatorAddress = netip.AddrPortFrom(h.local, operatorPort)
		h.settings.DataFolder = filepath.Join(s.folder, "data-"+name.String())
	}
	h.process = ctfleet.NewProcess(name.String(), filepath.Join(s.folder, name.String()+".log"),
		filepath.Join(programs, "cherviltrestle"),
		[]string{"platform", string(name.Kind), "--local-ip", h.local.String()},
		[]string{platform.SettingsPathVariable + "=" + h.file})
	return h
}

// relay puts a relay before a host's port.
func (s *Fleet) relay(front, local netip.Addr, port uint16) error {
	r, err := ctrelay.StartTCP(&s.links, netip.AddrPortFrom(front, port), netip.AddrPortFrom(local, port))
	if err != nil {
		return err
	}
	s.relays = append(s.relays, r)
	return nil
}

// newGroups makes the groups and the servers of their members.
func (s *Fleet) newGroups() error {
	shape := s.plan.Shape
	for i := range shape.Groups {
		var names []ctid.Member
		for j := range shape.Domains {
			names = append(names, ctid.Member(fmt.Sprintf("m-%d-%d", i, j)))
		}
		g := NewGroup(ctid.Group(fmt.Sprintf("group-%d", i)), names, shape.Slots, s.judge)
		s.groups = append(s.groups, g)
		for j, m := range g.members {
			front, local := s.addresses(Host{KindMember, i*shape.Domains + j})
			if err := s.relay(front, local, memberPort); err != nil {
				return err
			}
			s.servers = append(s.servers, &server{
				member: m, first: m.name, domain: domainName(j), limit: shape.Connections, controls: s.operators,
				front: netip.AddrPortFrom(front, memberPort), local: netip.AddrPortFrom(local, memberPort),
			})
		}
	}
	return nil
}

// hosts returns the hosts of the system's own processes.
func (s *Fleet) hosts() []*host {
	return append(append([]*host(nil), s.controls...), s.proxies...)
}

// host returns a host of the system's own processes.
func (s *Fleet) host(name Host) *host {
	if name.Kind == KindProxy {
		return s.proxies[name.Number]
	}
	return s.controls[name.Number]
}

// server returns the server of a member.
func (s *Fleet) server(name Host) *server {
	return s.servers[name.Number]
}

// operators returns where operators and members reach control.
func (s *Fleet) operators() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, c := range s.controls {
		addresses = append(addresses, c.settings.OperatorAddress)
	}
	return addresses
}

// Start starts everything.
func (s *Fleet) Start(ctx context.Context) error {
	address := netip.AddrPortFrom(s.address(0, 1), promotionPort)
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return errors.Wrap(err, "open the address for promotions")
	}
	s.promotions = &http.Server{Handler: platform.PromotionHandler(s.promote), ReadHeaderTimeout: time.Second}
	go func() { _ = s.promotions.Serve(listener) }()
	for _, g := range s.groups {
		go g.replicate(ctx.Done())
	}
	for _, v := range s.servers {
		if err := v.start(ctx); err != nil {
			return err
		}
	}
	for _, h := range s.hosts() {
		if err := s.write(h); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// ClearFirstStart tells the settings files that the fleet has started once.
func (s *Fleet) ClearFirstStart() error {
	for _, h := range s.hosts() {
		h.settings.Bootstrap = false
		if err := s.write(h); err != nil {
			return err
		}
	}
	return nil
}

// write writes a host's settings file. The process reads it at its start.
func (s *Fleet) write(h *host) error {
	if h.settings.DataFolder != "" {
		if err := os.MkdirAll(h.settings.DataFolder, 0o700); err != nil {
			return errors.Wrap(err, "make a data folder")
		}
	}
	return errors.Wrap(os.WriteFile(h.file, []byte(platform.RenderSettings(h.settings)), 0o600), "write settings")
}

// promote takes an order to promote a member.
func (s *Fleet) promote(
	group ctid.Group, member ctid.Member, holder string, epoch ctquorum.Epoch,
) ctsuccession.PromotionOutcome {
	for _, g := range s.groups {
		if g.name == group {
			return g.Promote(member, holder, epoch)
		}
	}
	return ctsuccession.PromotionRejected
}

// Close ends all processes and closes all addresses.
func (s *Fleet) Close() {
	for _, h := range s.hosts() {
		h.end()
	}
	for _, v := range s.servers {
		if v.stop != nil {
			v.end()
		}
	}
	for _, r := range s.relays {
		r.Close()
	}
	if s.promotions != nil {
		_ = s.promotions.Close()
	}
	_ = s.lock.Close()
}

// start starts the host's process, unless it runs.
func (h *host) start() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.process.Running() {
		return nil
	}
	h.wanted = true
	h.boots++
	return h.process.Start()
}

// end kills the host's process.
func (h *host) end() {
	h.mutex.Lock()
	h.wanted = false
	h.mutex.Unlock()
	h.process.Kill()
}

// boot returns how often the process has started.
func (h *host) boot() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.boots
}

// disturb notes that a fault of the host begins or ends.
func (h *host) disturb() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.disturbed = time.Now()
}

// undisturbed reports whether the host had no fault and no planned stop since a
// time.
func (h *host) undisturbed(since time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.disturbed.Before(since) && h.stopping.Before(since)
}

// begin notes that a fault that is not planned begins, and returns what ends it.
func (s *Fleet) begin() (end func()) {
	note := func(change int) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.going += change
		s.disturbed = time.Now()
	}
	note(1)
	return func() { note(-1) }
}

// calm reports whether no fault went on anywhere since a time.
func (s *Fleet) calm(since time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.going == 0 && s.disturbed.Before(since)
}
