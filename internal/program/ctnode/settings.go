package ctnode

import (
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Settings are what a process is told at its start.
type Settings struct {
	// Name is the VM's name, which logs and calls to outside services show.
	Name string
	IP   netip.Addr
	// LocalIP is the VM's own address for peers, members and metrics where a network
	// before the VM translates it; IP where it is not valid.
	LocalIP       netip.Addr
	FailureDomain ctid.FailureDomain
	// CallerAddress, Health and Operators are the addresses that the process serves;
	// those of other roles are invalid.
	CallerAddress   netip.AddrPort
	HealthAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	// PeerPort is the port at which all processes take connections of others.
	PeerPort uint16
	// Seeds are the IP numbers of control processes; all may be gone later.
	Seeds []netip.Addr
	// Bootstrap reports whether the whole fleet starts for the first time.
	Bootstrap bool
	// MaxDiskLosses is how many disks may be lost at once.
	MaxDiskLosses int
	DataFolder    string
	// PromoterAddress is where the service that promotes members is reached.
	PromoterAddress netip.AddrPort
	// ApplyTimeout is how long after its acceptance a configuration must be in force
	// everywhere; 0 for no bound.
	ApplyTimeout time.Duration
	// StopTimeout is how long a planned stop may take.
	StopTimeout time.Duration
	// MemoryMB is how much memory the process may use.
	MemoryMB int
}

// Check reports the first setting that is missing for every role.
func (s *Settings) Check() error {
	switch {
	case s.Name == "":
		return missing("the VM's name")
	case !s.IP.IsValid():
		return missing("the VM's IP number")
	case s.FailureDomain.Check() != nil:
		return missing("the failure domain")
	case s.PeerPort == 0:
		return missing("the port for peers")
	case len(s.Seeds) == 0:
		return missing("a seed")
	}
	return nil
}

func missing(what string) error {
	return cterror.New(cterror.Invalid, what+" is missing", "add it to the settings file")
}

// applyMargin is how long before the bound a proxy without the newest configuration
// stops: what it has begun then is still answered.
const applyMargin = 400 * time.Millisecond

// applyTime is how long a proxy may act on an older configuration than the newest.
func (s *Settings) applyTime() time.Duration {
	return max(0, s.ApplyTimeout-applyMargin)
}

// control names the control process at an IP number.
func control(address netip.Addr) ctid.Control {
	return ctid.Control(address.String())
}

// resolve finds the address of a control process by its name.
func (s *Settings) resolve(name ctid.Control) (netip.AddrPort, bool) {
	address, err := netip.ParseAddr(string(name))
	if err != nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(address, s.PeerPort), true
}

// peer is the address at which others reach this process.
func (s *Settings) peer() netip.AddrPort {
	return netip.AddrPortFrom(s.IP, s.PeerPort)
}

// local is this VM's own address.
func (s *Settings) local() netip.Addr {
	if s.LocalIP.IsValid() {
		return s.LocalIP
	}
	return s.IP
}

// peerListen is the address at which this process takes connections of others.
func (s *Settings) peerListen() netip.AddrPort {
	return netip.AddrPortFrom(s.local(), s.PeerPort)
}

// metricsPort is the port at which every process serves its metrics; the
// deployment's file names it too.
const metricsPort = 9464

// metrics is the address at which this process serves its metrics.
func (s *Settings) metrics() netip.AddrPort {
	return netip.AddrPortFrom(s.local(), metricsPort)
}

// seedNames names the seeds.
func (s *Settings) seedNames() []ctid.Control {
	var names []ctid.Control
	for _, seed := range s.Seeds {
		names = append(names, control(seed))
	}
	return names
}

// seedAddresses lists where the seeds take connections of peers.
func (s *Settings) seedAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, seed := range s.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(seed, s.PeerPort))
	}
	return addresses
}
