package ctsettings

import (
	"time"

	"github.com/spf13/pflag"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// The defaults of a proxy's settings.
const (
	defaultHeartbeatInterval = 250 * time.Millisecond
	defaultStopTimeout       = 20 * time.Second
	defaultBackendUser       = "cherviltrestle"
)

// The bounds of Proxy.HeartbeatInterval.
const (
	minHeartbeatInterval = 20 * time.Millisecond
	maxHeartbeatInterval = 5 * time.Second
)

// Proxy holds the settings of a proxy process.
type Proxy struct {
	Common
	// Name is unique in the fleet.
	Name ctid.Proxy
	// FailureDomain is that of the proxy's VM.
	FailureDomain ctid.FailureDomain
	// Listen is the TCP address for callers.
	Listen Address
	// PeerListen is the UDP address for other processes.
	PeerListen Address
	// PeerAdvertise is the address by which other processes reach this proxy. If it
	// is not given, they use PeerListen.
	PeerAdvertise Address
	// Control has the UDP addresses of the control processes.
	Control Addresses
	// Peers has the UDP addresses of proxies in the same failure domain. The proxy
	// queries them if control can't be reached.
	Peers Addresses
	// HeartbeatInterval is the time between two reports to control.
	HeartbeatInterval time.Duration
	// StopTimeout is how long a planned stop waits for transactions to end.
	StopTimeout     time.Duration
	BackendUser     string
	BackendPassword string
	// Workers is the number of worker goroutines; 0 means one per processor.
	Workers int
	// CallerCertFile and CallerKeyFile are PEM files for TLS connections of callers.
	// If both are empty, callers are served without encryption.
	CallerCertFile string
	CallerKeyFile  string
	// MemoryMB is how much memory the process may use, in megabytes, and Descriptors how many
	// descriptors. 0 means no limit.
	MemoryMB    int
	Descriptors int
}

// Register declares the settings as flags.
func (p *Proxy) Register(flags *pflag.FlagSet) {
	p.Common.Register(flags)
	textVar(flags, &p.Name, "name", "name", "name of this proxy, unique in the fleet")
	textVar(flags, &p.FailureDomain, "failure-domain", "name", "failure domain of this VM")
	textVar(flags, &p.Listen, "listen", "address", "TCP address for callers")
	textVar(flags, &p.PeerListen, "peer-listen", "address", "UDP address for the system's other processes")
	textVar(flags, &p.PeerAdvertise, "peer-advertise", "address",
		"UDP address by which other processes reach this proxy, where that is not --peer-listen")
	textVar(flags, &p.Control, "control-address", "addresses", "UDP addresses of the control processes, with commas")
	textVar(flags, &p.Peers, "peer-address", "addresses",
		"UDP addresses of proxies in this failure domain to ask when control can't be reached")
	flags.DurationVar(&p.HeartbeatInterval, "heartbeat", defaultHeartbeatInterval, "time between reports to control")
	flags.DurationVar(&p.StopTimeout, "stop-time", defaultStopTimeout, "how long a planned stop waits for transactions")
	flags.StringVar(&p.BackendUser, "backend-user", defaultBackendUser, "user on backend servers")
	flags.StringVar(&p.BackendPassword, "backend-password", "", "password on backend servers; better as a variable")
	flags.IntVar(&p.Workers, "workers", 0, "worker goroutines; 0 for one a processor")
	flags.StringVar(&p.CallerCertFile, "caller-certificate", "", "PEM file with the certificate shown to callers")
	flags.StringVar(&p.CallerKeyFile, "caller-key", "", "PEM file with the key of the caller certificate")
	flags.IntVar(&p.MemoryMB, "memory-limit", 0, "megabytes of memory that the process may use; 0 for no limit")
	flags.IntVar(&p.Descriptors, "descriptor-limit", 0, "descriptors that the process may use; 0 for no limit")
}

// Check returns an error of kind cterror.Invalid for the first setting that is
// missing or out of bounds.
func (p *Proxy) Check() error {
	if err := p.Common.Check(); err != nil {
		return err
	}
	switch {
	case p.Name == "":
		return missingError("name")
	case p.FailureDomain == "":
		return missingError("failure-domain")
	case !p.Listen.IsValid():
		return missingError("listen")
	case !p.PeerListen.IsValid():
		return missingError("peer-listen")
	case len(p.Control) == 0:
		return missingError("control-address")
	case p.HeartbeatInterval < minHeartbeatInterval || p.HeartbeatInterval > maxHeartbeatInterval:
		return outOfBoundsError("heartbeat", "20ms to 5s")
	case p.StopTimeout < 0:
		return outOfBoundsError("stop-time", "0s or more")
	case p.Workers < 0:
		return outOfBoundsError("workers", "0 or more")
	case p.MemoryMB < 0:
		return outOfBoundsError("memory-limit", "0 or more")
	case p.Descriptors < 0:
		return outOfBoundsError("descriptor-limit", "0 or more")
	case (p.CallerCertFile == "") != (p.CallerKeyFile == ""):
		return cterror.New(cterror.Invalid, "one of --caller-certificate and --caller-key is missing",
			"give both, or neither to serve callers without encryption")
	}
	return nil
}

// missingError returns the error for a required flag that was not given.
func missingError(flag string) error {
	return cterror.Newf(cterror.Invalid, "give the flag or the variable "+VariableName(flag), "--%s is missing", flag)
}

// outOfBoundsError returns the error for a flag whose value is not in the allowed
// range.
func outOfBoundsError(flag string, allowed string) error {
	return cterror.Newf(cterror.Invalid, "give "+allowed, "--%s is out of bounds", flag)
}
