package ctheldlink

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstutter"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctnode"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

// ServiceHost is the host of the service that promotes members.
const ServiceHost Host = "service"

// Ports, the same on all hosts.
const (
	// networkLockPort serves nothing. A fleet listens on it to reserve its addresses.
	networkLockPort = 7439
	peerPort        = 7440
	callerPort      = 8784
	readinessPort   = 8785
	operatorPort    = 8786
	memberPort      = 8787
	servicePort     = 8788
)

// Size and settings of the fleet.
const (
	controlCount    = 3
	proxyCount      = 2
	callersPerProxy = 2
	memoryLimitMB   = 280
	connections     = 76
	stopTimeout     = 6 * time.Second
	applyTimeout    = 4 * time.Second
	// statementTimeout and targetLatency are those of the callers' route.
	statementTimeout   = time.Second
	targetLatency      = 800 * time.Millisecond
	transactionTimeout = 3 * time.Second
	// maxStaleness is how old the data of a bounded read may be.
	maxStaleness = 2500 * time.Millisecond
	// release is the number of the configuration.
	release ctid.Release = 1
	// startTimeout bounds the start of the fleet.
	startTimeout = time.Minute
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval = 20 * time.Millisecond
)

// freshnessByDatabase has the route of each database.
var freshnessByDatabase = map[ctid.Database]ctconfig.Freshness{
	"database-primary": ctconfig.FreshnessPrimary,
	"database-own":     ctconfig.FreshnessSession,
	"database-bounded": ctconfig.FreshnessBounded,
}

// Options are the settings of a Fleet.
type Options struct {
	// BinFolder has the program. Folder receives settings, data and logs.
	BinFolder, Folder string
	Logger            zerolog.Logger
	// Seed decides what callers send.
	Seed uint64
	// Stutter says which answers of members are sent twice. nil means none.
	Stutter *ctstutter.Plan
}

// process is a control process or a proxy.
type process struct {
	*ctfleet.Process
	host Host
	// relayIP is where others reach the process, and processIP where it listens.
	relayIP, processIP netip.Addr
	settings           ctnode.Settings
	settingsFile       string
	// mutex guards killed, which is set from a kill until the next start.
	mutex  sync.Mutex
	killed bool
}

// Fleet is three control processes and two proxies with their group, service and callers.
type Fleet struct {
	Options
	Network *Network
	Judge   *Judge
	Group   *Group

	subnet            byte
	lock              net.Listener
	controls, proxies []*process
	// memberRelays has the relays in front of the members, by their number.
	memberRelays []*Relay
	relays       []*Relay
	listeners    []net.Listener
	service      http.Server
	stop         context.CancelFunc
}

// Start starts a fleet and waits until callers are served. The caller closes it.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{Options: options, Network: &Network{}}
	f.Judge = newJudge(options.Logger, f.Network.DisturbedSince, options.Seed)
	f.Group = newGroup(f.Network, f.Judge, options.Logger)
	f.Group.stutter = options.Stutter
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start starts the parts of the fleet one after another.
func (f *Fleet) start(ctx context.Context) error {
	if err := f.reserveAddresses(); err != nil {
		return err
	}
	for i := range controlCount {
		f.controls = append(f.controls, f.newProcess("control", 1, i))
	}
	for i := range proxyCount {
		f.proxies = append(f.proxies, f.newProcess("proxy", 3, i))
	}
	if err := f.startService(); err != nil {
		return err
	}
	go f.Group.replicate(ctx.Done())
	for i := range f.Group.Members {
		if err := f.startMember(i); err != nil {
			return err
		}
	}
	if err := f.startProcesses(); err != nil {
		return err
	}
	for i, m := range f.Group.Members {
		go f.newReporter(i, m).run(ctx)
	}
	if err := f.publish(ctx); err != nil {
		return err
	}
	return f.startCallers(ctx)
}

// reserveAddresses chooses the second byte of all addresses of the fleet.
func (f *Fleet) reserveAddresses() error {
	const first, last = 20, 250
	for n := first; n <= last; n++ {
		f.subnet = byte(n)
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(f.address(0, 1), networkLockPort).String())
		if err == nil {
			f.lock = listener
			return nil
		}
	}
	return errors.New("all networks of loopback addresses are in use")
}

func (f *Fleet) address(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.subnet, byte(kind), byte(number)})
}

// newProcess returns a process that is not started yet. kind is the third byte of its
// relay's address; the next number is that of its own.
func (f *Fleet) newProcess(role string, kind, i int) *process {
	p := &process{
		host:    Host(fmt.Sprintf("%s-%d", role, i)),
		relayIP: f.address(kind, i+1), processIP: f.address(kind+1, i+1),
	}
	name := string(p.host)
	f.Network.SetHost(p.processIP, p.host)
	p.settingsFile = filepath.Join(f.Folder, name+".conf")
	p.settings = ctnode.Settings{
		Name: name, IP: p.relayIP, FailureDomain: domainName(i), PeerPort: peerPort, Bootstrap: true,
		MaxDiskLosses: 1, ApplyTimeout: applyTimeout, StopTimeout: stopTimeout, MemoryMB: memoryLimitMB,
		PromoterAddress: netip.AddrPortFrom(f.address(7, i+1), servicePort),
	}
	for c := range controlCount {
		p.settings.Seeds = append(p.settings.Seeds, f.address(1, c+1))
	}
	if role == "proxy" {
		p.settings.CallerAddress = netip.AddrPortFrom(p.processIP, callerPort)
		p.settings.ReadinessAddress = netip.AddrPortFrom(p.processIP, readinessPort)
	} else {
		p.settings.OperatorAddress = netip.AddrPortFrom(p.processIP, operatorPort)
		p.settings.DataFolder = filepath.Join(f.Folder, "data-"+name)
	}
	p.Process = ctfleet.NewProcess(name, filepath.Join(f.Folder, name+".log"),
		filepath.Join(f.BinFolder, "cherviltrestle"),
		[]string{"platform", role, "--local-ip", p.processIP.String()},
		[]string{platform.SettingsPathVariable + "=" + p.settingsFile})
	return p
}

func domainName(i int) ctid.FailureDomain {
	return ctid.FailureDomain(fmt.Sprintf("domain-%d", i))
}

// addRelay opens a relay to a host.
func (f *Fleet) addRelay(from, to Host, listen, target netip.AddrPort) (*Relay, error) {
	r := &Relay{network: f.Network, from: from, to: to, listen: listen, target: target}
	f.relays = append(f.relays, r)
	return r, r.Open()
}

// listen opens a listener that Close closes.
func (f *Fleet) listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err == nil {
		f.listeners = append(f.listeners, listener)
	}
	return listener, errors.Wrap(err, "open an address of the fleet")
}

// startService starts the service that promotes members, with a relay for each control
// process.
func (f *Fleet) startService() error {
	address := netip.AddrPortFrom(f.address(0, 1), servicePort)
	listener, err := f.listen(address)
	if err != nil {
		return err
	}
	f.service.Handler, f.service.ReadHeaderTimeout = platform.PromotionHandler(f.Group.Promote), time.Minute
	go func() { _ = f.service.Serve(listener) }()
	for _, c := range f.controls {
		if _, err := f.addRelay(c.host, ServiceHost, c.settings.PromoterAddress, address); err != nil {
			return err
		}
	}
	return nil
}

// startMember starts a member with its relay.
func (f *Fleet) startMember(i int) error {
	m := f.Group.Members[i]
	target := netip.AddrPortFrom(f.address(6, i+1), memberPort)
	f.Network.SetHost(target.Addr(), m.Host)
	listener, err := f.listen(target)
	if err != nil {
		return err
	}
	go m.serve(listener)
	r, err := f.addRelay("", m.Host, netip.AddrPortFrom(f.address(5, i+1), memberPort), target)
	f.memberRelays = append(f.memberRelays, r)
	return err
}

// startProcesses starts the control processes and proxies with their relays.
func (f *Fleet) startProcesses() error {
	for _, p := range f.processes() {
		ports := []uint16{peerPort}
		if p.settings.OperatorAddress.IsValid() {
			ports = append(ports, operatorPort)
		}
		for _, port := range ports {
			listen, target := netip.AddrPortFrom(p.relayIP, port), netip.AddrPortFrom(p.processIP, port)
			if _, err := f.addRelay("", p.host, listen, target); err != nil {
				return err
			}
		}
		if err := f.startProcess(p); err != nil {
			return err
		}
		p.settings.Bootstrap = false
	}
	return nil
}

// startProcess writes the settings of a process and starts it.
func (f *Fleet) startProcess(p *process) error {
	if p.settings.DataFolder != "" {
		if err := os.MkdirAll(p.settings.DataFolder, 0o700); err != nil {
			return errors.Wrap(err, "make a data folder")
		}
	}
	if err := os.WriteFile(p.settingsFile, []byte(platform.RenderSettings(p.settings)), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return p.Start()
}

// processes returns all control processes and proxies.
func (f *Fleet) processes() []*process {
	return append(append([]*process(nil), f.controls...), f.proxies...)
}

// newReporter returns the reporter of a member.
func (f *Fleet) newReporter(i int, m *Member) *reporter {
	r := &reporter{
		member: m, domain: domainName(i), local: netip.AddrPortFrom(f.address(6, i+1), memberPort),
		address: netip.AddrPortFrom(f.address(5, i+1), memberPort),
	}
	for _, c := range f.controls {
		r.controls = append(r.controls, netip.AddrPortFrom(c.relayIP, operatorPort))
	}
	return r
}

// publish sends the configuration until a control process acknowledges it.
func (f *Fleet) publish(ctx context.Context) error {
	var document ctconfig.Document
	document.Defaults.Sessions.TransactionTimeout = ctconfig.Duration(transactionTimeout)
	document.Groups = []ctconfig.Group{{Name: groupName, Connections: connections, SyncReplicas: syncReplicas}}
	for database, freshness := range freshnessByDatabase {
		document.Routes = append(document.Routes, ctconfig.Route{
			Name: "r-" + string(database), Database: database, Group: groupName, Freshness: freshness,
			StatementTimeout: ctconfig.Duration(statementTimeout), TargetLatency: ctconfig.Duration(targetLatency),
			MaxStaleness: ctconfig.Duration(maxStaleness),
		})
	}
	body, err := platform.RenderConfig(release, document)
	if err != nil {
		return err
	}
	var client platform.ExternalClient
	return await(ctx, startTimeout, "control acknowledges the configuration", func() bool {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		status, err := client.Publish(callCtx, f.controls[0].settings.OperatorAddress, body)
		return err == nil && status == http.StatusOK
	})
}

// startCallers starts the callers and waits until each proxy has served some.
func (f *Fleet) startCallers(ctx context.Context) error {
	number := uint64(0)
	for _, p := range f.proxies {
		for _, database := range slices.Sorted(maps.Keys(freshnessByDatabase)) {
			for range callersPerProxy {
				number++
				c := &caller{
					session: callerSession{proxy: p.host, freshness: freshnessByDatabase[database]}, database: database,
					address: p.settings.CallerAddress, judge: f.Judge, random: rand.New(rand.NewPCG(f.Seed, number)),
				}
				go c.run(ctx)
			}
		}
	}
	const warmUp = 100
	return await(ctx, startTimeout, "callers are served", func() bool { return f.Judge.Acknowledged() >= warmUp })
}

// Close kills all processes and closes all listeners and relays.
func (f *Fleet) Close() {
	f.stop()
	for _, p := range f.processes() {
		p.Kill()
	}
	for _, r := range f.relays {
		r.Close()
	}
	_ = f.service.Close()
	for _, l := range f.listeners {
		_ = l.Close()
	}
	if f.lock != nil {
		_ = f.lock.Close()
	}
}

// await waits until a condition holds. After the timeout it returns an error with its name.
func await(ctx context.Context, timeout time.Duration, name string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Errorf("it was not reached in %s that %s", timeout, name)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
