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

// Shape describes the processes of a fleet and their settings.
type Shape struct {
	FailureDomains []ctrelay.FailureDomain
	// Proxies is the number of proxies in each failure domain.
	Proxies int
	// Controls is the number of control processes in the whole fleet.
	Controls int
	// ControlFailureDomains are the failure domains of the control processes, assigned in
	// turn. If it is empty, FailureDomains is used.
	ControlFailureDomains []ctrelay.FailureDomain
	// Groups are the names of the database groups. Each has one member in each
	// failure domain. The first primary of group i is in failure domain i, modulo
	// the number of failure domains.
	Groups []string
	// Slots is how many statements may run on a member at once, and Connections how
	// many connections it accepts; the stand-in's defaults if they are 0.
	Slots       int
	Connections int
	// ConnectDelay is how long a new connection to a member takes.
	ConnectDelay time.Duration
	// StatementDelay is how long a statement takes on a member.
	StatementDelay time.Duration
	// ReceiveLag is how long a replica takes to receive a log entry, and ApplyLag how
	// long it takes to apply one that it has received.
	ReceiveLag time.Duration
	ApplyLag   time.Duration
	// Config is the configuration that Start applies, in YAML.
	Config string
	// ReportTimeout is how long control waits for a report of a proxy or a member
	// before it considers that process gone; control's default if it is 0.
	ReportTimeout time.Duration
	// HeartbeatInterval is the time between two reports of a proxy; the proxies'
	// default if it is 0.
	HeartbeatInterval time.Duration
	// StopTimeout is how long a planned stop of a proxy may take; the proxies' default
	// if it is 0.
	StopTimeout time.Duration
	// ProxyArguments are further arguments of the proxies.
	ProxyArguments []string
}

// Options are the settings of Start.
type Options struct {
	// Folder is an existing folder for the data, the keys and the logs.
	Folder string
	// BinFolder is the folder with the programs cherviltrestle and ctlab.
	BinFolder string
	Shape     Shape
	// LogLevel is the log level of the proxies and the control processes; info if it
	// is empty.
	LogLevel string
}

// Fleet is a started fleet. Its lists of processes do not change after Start, also
// when a process ends.
type Fleet struct {
	Options

	// Network delays and cuts the links between failure domains.
	Network  *ctrelay.UDPNetwork
	Proxies  []*Process
	Controls []*Process
	// Members are the members by group, in the order of the failure domains.
	Members map[string][]*Process

	relays []*ctrelay.UDPRelay
	ports  portAllocator
}

// Start starts the processes of a fleet and applies its configuration. It stops them
// again if that fails. Members may not have a holder yet when it returns: see
// AwaitReady. The caller stops the fleet.
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

// Stop kills all processes, waits until they have ended, and closes the relays.
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

// Processes returns all processes: control, then proxies, then members.
func (f *Fleet) Processes() []*Process {
	all := append([]*Process(nil), f.Controls...)
	all = append(all, f.Proxies...)
	for _, g := range f.Shape.Groups {
		all = append(all, f.Members[g]...)
	}
	return all
}

// TrafficBytes returns how many bytes the given processes have sent to and received
// from other proxies and control processes, over UDP. Bytes between two of the given
// processes count twice.
func (f *Fleet) TrafficBytes(processes []*Process) int64 {
	var sum int64
	for _, p := range processes {
		sum += f.Network.TrafficBytes(p.PeerListen.Port())
	}
	return sum
}

// ProxiesAt returns the proxies of a failure domain.
func (f *Fleet) ProxiesAt(domain ctrelay.FailureDomain) []*Process {
	var proxies []*Process
	for _, p := range f.Proxies {
		if p.FailureDomain == domain {
			proxies = append(proxies, p)
		}
	}
	return proxies
}

// prepare chooses the addresses, issues the keys and builds the command lines of all
// processes.
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

// newProcess chooses a process's addresses and issues its keys. The program is a
// file name in BinFolder.
func (f *Fleet) newProcess(name string, domain ctrelay.FailureDomain, program string) (*Process, error) {
	p := &Process{
		Name:          name,
		FailureDomain: domain,
		LogFile:       filepath.Join(f.Folder, name+".log"),
		program:       f.programPath(program),
	}
	for _, a := range []*netip.AddrPort{&p.Listen, &p.HTTP, &p.PeerListen, &p.PeerRelay} {
		address, err := f.ports.allocate()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	f.Network.SetFailureDomain(p.PeerListen.Port(), domain)
	return p, ctkey.Issue(filepath.Join(f.Folder, "keys"), f.keyFolder(name), name, time.Now())
}

func (f *Fleet) programPath(name string) string {
	return filepath.Join(f.BinFolder, name)
}

func (f *Fleet) keyFolder(name string) string {
	return filepath.Join(f.Folder, "keys-"+name)
}

// prepareControls also creates the data of the first control process, which the others
// join when they start.
func (f *Fleet) prepareControls() error {
	for i := range f.Shape.Controls {
		domains := f.Shape.ControlFailureDomains
		if len(domains) == 0 {
			domains = f.Shape.FailureDomains
		}
		domain := domains[i%len(domains)]
		p, err := f.newProcess(fmt.Sprintf("control-%d", i), domain, "cherviltrestle")
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
		return errors.Errorf("initialize the first control process: %s", output)
	}
	return nil
}

// otherControls lists all control processes but one as name=address, with commas.
func (f *Fleet) otherControls(except *Process) string {
	var others []string
	for _, p := range f.Controls {
		if p != except {
			others = append(others, p.Name+"="+p.PeerRelay.String())
		}
	}
	return strings.Join(others, ",")
}

// ControlHTTPAddresses lists the HTTP addresses of the control processes, with commas.
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
	for _, domain := range f.Shape.FailureDomains {
		for i := range f.Shape.Proxies {
			p, err := f.newProcess(fmt.Sprintf("proxy-%s-%d", domain, i), domain, "cherviltrestle")
			if err != nil {
				return err
			}
			f.Proxies = append(f.Proxies, p)
		}
	}
	for _, p := range f.Proxies {
		p.arguments = []string{
			"proxy", "--name", p.Name, "--failure-domain", string(p.FailureDomain), "--listen", p.Listen.String(),
			"--peer-listen", p.PeerListen.String(), "--peer-advertise", p.PeerRelay.String(),
			"--http-listen", p.HTTP.String(), "--keys", f.keyFolder(p.Name), "--log-level", f.LogLevel,
			"--control-address", relayAddresses(f.Controls, ""), "--workers", "2",
		}
		if f.Shape.HeartbeatInterval > 0 {
			p.arguments = append(p.arguments, "--heartbeat", f.Shape.HeartbeatInterval.String())
		}
		if f.Shape.StopTimeout > 0 {
			p.arguments = append(p.arguments, "--stop-time", f.Shape.StopTimeout.String())
		}
		if peers := relayAddresses(f.ProxiesAt(p.FailureDomain), p.Name); peers != "" {
			p.arguments = append(p.arguments, "--peer-address", peers)
		}
		p.arguments = append(p.arguments, f.Shape.ProxyArguments...)
	}
	return nil
}

// relayAddresses lists the addresses of the processes' relays, with commas. It leaves
// out the process with the excepted name.
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
		for j, domain := range f.Shape.FailureDomains {
			p, err := f.newProcess(fmt.Sprintf("%s-%d", group, j), domain, "ctlab")
			if err != nil {
				return err
			}
			f.Members[group] = append(f.Members[group], p)
			p.arguments = f.memberArguments(p, group)
			if j == i%len(f.Shape.FailureDomains) {
				p.arguments = append(p.arguments, "--role", "primary")
			}
		}
		primary := f.Members[group][i%len(f.Shape.FailureDomains)]
		for _, p := range f.Members[group] {
			p.arguments = append(p.arguments, "--primary", primary.Listen.String())
		}
	}
	return nil
}

func (f *Fleet) memberArguments(p *Process, group string) []string {
	s := f.Shape
	arguments := []string{
		"standin", "--group", group, "--member", p.Name, "--failure-domain", string(p.FailureDomain),
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
	for _, proxy := range f.ProxiesAt(p.FailureDomain) {
		arguments = append(arguments, "--announce", proxy.HTTP.String())
	}
	return arguments
}

// launch starts the relays and the processes, and applies the configuration.
func (f *Fleet) launch() error {
	for _, p := range append(append([]*Process(nil), f.Controls...), f.Proxies...) {
		relay, err := ctrelay.StartUDP(f.Network, p.PeerRelay, p.PeerListen, p.FailureDomain)
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

// controlLogs returns the names of the control processes, whether they run, and the last bytes of
// their logs.
func (f *Fleet) controlLogs() string {
	const tailBytes = 4000
	var logs strings.Builder
	for _, p := range f.Controls {
		data, err := os.ReadFile(p.LogFile)
		if err != nil {
			data = []byte(err.Error())
		}
		fmt.Fprintf(&logs, "%s, running %t:\n%s\n", p.Name, p.Running(), data[max(0, len(data)-tailBytes):])
	}
	return logs.String()
}

// applyInitialConfig applies the configuration of the shape. It retries, since control
// does not accept changes right after its start.
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
	return errors.Errorf("control did not accept the initial configuration: %s\n%s", output, f.controlLogs())
}
