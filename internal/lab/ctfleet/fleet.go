package ctfleet

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrelay"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctkey"
)

// Shape says what a fleet is made of.
type Shape struct {
	// Sites are the failure domains.
	Sites []ctrelay.Site
	// Proxies is the number of proxies in each failure domain.
	Proxies int
	// Controls is the number of control processes, one a failure domain.
	Controls int
	// ControlSites are where the control processes are, in turn; the failure
	// domains in turn where it is empty.
	ControlSites []ctrelay.Site
	// Groups are the names of the database groups. Each has one member in each
	// failure domain; the primary of group i begins in failure domain i.
	Groups []string
	// Slots and Connections are the limits of each member.
	Slots       int
	Connections int
	// ConnectDelay is how long a new connection to a member takes.
	ConnectDelay time.Duration
	// StatementDelay is how long a statement takes on a member.
	StatementDelay time.Duration
	// ReceiveLag and ApplyLag delay the replicas.
	ReceiveLag time.Duration
	ApplyLag   time.Duration
	// Config is the configuration that is applied at the start, in YAML.
	Config string
	// ReportTimeout is the control processes' silence time; their default where it
	// is 0.
	ReportTimeout time.Duration
	// HeartbeatInterval is the time between two reports of a proxy; their default where
	// it is 0.
	HeartbeatInterval time.Duration
}

// Options are the settings of Start.
type Options struct {
	// Folder takes the data, the keys and the logs.
	Folder string
	// BinFolder is the folder with cherviltrestle and ctlab.
	BinFolder string
	Shape     Shape
	// LogLevel is that of all processes; info where it is empty.
	LogLevel string
}

// Fleet is a fleet of processes.
type Fleet struct {
	Options

	Network  *ctrelay.UDPNetwork
	Proxies  []*Process
	Controls []*Process
	// Members holds the members by group, in the order of the failure domains.
	Members map[string][]*Process

	relays []*ctrelay.UDPRelay
	ports  portAllocator
}

// Start starts a fleet and applies its configuration.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{Options: options, Network: &ctrelay.UDPNetwork{}, Members: make(map[string][]*Process)}
	if f.LogLevel == "" {
		f.LogLevel = "info"
	}
	if err := f.prepare(); err != nil {
		return nil, err
	}
	f.ports.releaseAll()
	if err := f.launch(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// Stop ends all processes.
func (f *Fleet) Stop() {
	for _, p := range f.Processes() {
		p.signalKill()
	}
	for _, p := range f.Processes() {
		p.Wait(killTimeout)
	}
	for _, r := range f.relays {
		r.Close()
	}
}

// Processes returns all processes.
func (f *Fleet) Processes() []*Process {
	all := append([]*Process(nil), f.Controls...)
	all = append(all, f.Proxies...)
	for _, g := range f.Shape.Groups {
		all = append(all, f.Members[g]...)
	}
	return all
}

// TrafficBytes returns how many bytes the stated processes have sent to and received
// from other processes of the system.
func (f *Fleet) TrafficBytes(processes []*Process) int64 {
	var sum int64
	for _, p := range processes {
		sum += f.Network.TrafficBytes(p.PeerListen.Port())
	}
	return sum
}

// ProxiesAt returns the proxies of a failure domain.
func (f *Fleet) ProxiesAt(site ctrelay.Site) []*Process {
	var proxies []*Process
	for _, p := range f.Proxies {
		if p.Site == site {
			proxies = append(proxies, p)
		}
	}
	return proxies
}

func (f *Fleet) prepare() error {
	keys := filepath.Join(f.Folder, "keys")
	if err := ctkey.CreateAuthority(keys, "lab", time.Now()); err != nil {
		return err
	}
	if err := f.prepareControls(); err != nil {
		return err
	}
	if err := f.prepareProxies(); err != nil {
		return err
	}
	return f.prepareMembers()
}

// newProcess chooses a process's addresses and issues its keys.
func (f *Fleet) newProcess(name string, site ctrelay.Site, program string) (*Process, error) {
	p := &Process{
		Name:    name,
		Site:    site,
		LogFile: filepath.Join(f.Folder, name+".log"),
		program: f.programPath(program),
	}
	for _, a := range []*netip.AddrPort{&p.Listen, &p.HTTP, &p.PeerListen, &p.PeerRelay} {
		address, err := f.ports.allocate()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	f.Network.SetSite(p.PeerListen.Port(), site)
	return p, ctkey.Issue(filepath.Join(f.Folder, "keys"), f.keyFolder(name), name, time.Now())
}

func (f *Fleet) programPath(name string) string {
	return filepath.Join(f.BinFolder, name)
}

func (f *Fleet) keyFolder(name string) string {
	return filepath.Join(f.Folder, "keys-"+name)
}

func (f *Fleet) prepareControls() error {
	for i := range f.Shape.Controls {
		sites := f.Shape.ControlSites
		if len(sites) == 0 {
			sites = f.Shape.Sites
		}
		site := sites[i%len(sites)]
		p, err := f.newProcess(fmt.Sprintf("control-%d", i), site, "cherviltrestle")
		if err != nil {
			return err
		}
		p.arguments = []string{
			"control", "--name", p.Name, "--peer-listen", p.PeerListen.String(), "--http-listen", p.HTTP.String(),
			"--keys", f.keyFolder(p.Name), "--data", f.DataFolder(p), "--log-level", f.LogLevel,
		}
		if f.Shape.ReportTimeout > 0 {
			p.arguments = append(p.arguments, "--silence-time", f.Shape.ReportTimeout.String())
		}
		f.Controls = append(f.Controls, p)
	}
	for _, p := range f.Controls {
		if others := f.otherControls(p); others != "" {
			p.arguments = append(p.arguments, "--controls", others)
		}
	}
	first := f.Controls[0]
	if output, err := f.RunCommand("control", "init", "--name", first.Name, "--data", f.DataFolder(first)); err != nil {
		return errors.Errorf("begin the fleet: %s", output)
	}
	return nil
}

// otherControls lists the control processes but one, by name and address.
func (f *Fleet) otherControls(except *Process) string {
	var others []string
	for _, p := range f.Controls {
		if p != except {
			others = append(others, p.Name+"="+p.PeerRelay.String())
		}
	}
	return strings.Join(others, ",")
}

// ControlHTTPAddresses lists the HTTP addresses of the control processes.
func (f *Fleet) ControlHTTPAddresses() string {
	var addresses []string
	for _, p := range f.Controls {
		addresses = append(addresses, p.HTTP.String())
	}
	return strings.Join(addresses, ",")
}

// DataFolder returns the data folder of a control process.
func (f *Fleet) DataFolder(p *Process) string {
	return filepath.Join(f.Folder, "data-"+p.Name)
}

func (f *Fleet) prepareProxies() error {
	for _, site := range f.Shape.Sites {
		for i := range f.Shape.Proxies {
			p, err := f.newProcess(fmt.Sprintf("proxy-%s-%d", site, i), site, "cherviltrestle")
			if err != nil {
				return err
			}
			f.Proxies = append(f.Proxies, p)
		}
	}
	for _, p := range f.Proxies {
		p.arguments = []string{
			"proxy", "--name", p.Name, "--failure-domain", string(p.Site), "--listen", p.Listen.String(),
			"--peer-listen", p.PeerListen.String(), "--peer-advertise", p.PeerRelay.String(),
			"--http-listen", p.HTTP.String(), "--keys", f.keyFolder(p.Name), "--log-level", f.LogLevel,
			"--control-address", relayAddresses(f.Controls, ""), "--workers", "2",
		}
		if f.Shape.HeartbeatInterval > 0 {
			p.arguments = append(p.arguments, "--heartbeat", f.Shape.HeartbeatInterval.String())
		}
		if peers := relayAddresses(f.ProxiesAt(p.Site), p.Name); peers != "" {
			p.arguments = append(p.arguments, "--peer-address", peers)
		}
	}
	return nil
}

// relayAddresses lists the relays' addresses of processes other than the named one.
func relayAddresses(processes []*Process, except string) string {
	var addresses []string
	for _, p := range processes {
		if p.Name != except {
			addresses = append(addresses, p.PeerRelay.String())
		}
	}
	return strings.Join(addresses, ",")
}

func (f *Fleet) prepareMembers() error {
	for i, group := range f.Shape.Groups {
		for j, site := range f.Shape.Sites {
			p, err := f.newProcess(fmt.Sprintf("%s-%d", group, j), site, "ctlab")
			if err != nil {
				return err
			}
			f.Members[group] = append(f.Members[group], p)
			p.arguments = f.memberArguments(p, group)
			if j == i%len(f.Shape.Sites) {
				p.arguments = append(p.arguments, "--role", "primary")
			}
		}
		primary := f.Members[group][i%len(f.Shape.Sites)]
		for _, p := range f.Members[group] {
			p.arguments = append(p.arguments, "--primary", primary.Listen.String())
		}
	}
	return nil
}

func (f *Fleet) memberArguments(p *Process, group string) []string {
	s := f.Shape
	arguments := []string{
		"standin", "--group", group, "--member", p.Name, "--failure-domain", string(p.Site),
		"--listen", p.Listen.String(), "--admin-listen", p.HTTP.String(), "--interval", "200ms",
		"--connect-time", s.ConnectDelay.String(), "--service-time", s.StatementDelay.String(),
		"--receive-lag", s.ReceiveLag.String(), "--apply-lag", s.ApplyLag.String(),
	}
	if s.Slots > 0 {
		arguments = append(arguments, "--slots", fmt.Sprint(s.Slots))
	}
	if s.Connections > 0 {
		arguments = append(arguments, "--connections", fmt.Sprint(s.Connections))
	}
	for _, proxy := range f.ProxiesAt(p.Site) {
		arguments = append(arguments, "--announce", proxy.HTTP.String())
	}
	return arguments
}

func (f *Fleet) launch() error {
	for _, p := range append(append([]*Process(nil), f.Controls...), f.Proxies...) {
		relay, err := ctrelay.StartUDP(f.Network, p.PeerRelay, p.PeerListen, p.Site)
		if err != nil {
			return err
		}
		f.relays = append(f.relays, relay)
	}
	for _, p := range f.Processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return f.applyInitialConfig()
}

// applyInitialConfig applies the configuration of the shape.
func (f *Fleet) applyInitialConfig() error {
	file := filepath.Join(f.Folder, "config.yaml")
	if err := os.WriteFile(file, []byte(f.Shape.Config), 0o600); err != nil {
		return errors.Wrap(err, "write the configuration")
	}
	const attempts = 100
	var output string
	for range attempts {
		var err error
		output, err = f.RunCommand("config", "apply", "--control-http", f.ControlHTTPAddresses(),
			"--file", file, "--id", "first", "--author", "lab")
		if err == nil {
			return nil
		}
		time.Sleep(retryDelay)
	}
	return errors.Errorf("the first configuration was not accepted: %s", output)
}
