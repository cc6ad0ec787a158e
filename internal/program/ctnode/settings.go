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
		return missingSetting("the VM's name")
	case !s.IP.IsValid():
		return missingSetting("the VM's IP number")
	case s.FailureDomain.Check() != nil:
		return missingSetting("the failure domain")
	case s.PeerPort == 0:
		return missingSetting("the port for peers")
	case len(s.Seeds) == 0:
		return missingSetting("a seed")
	}
	return nil
}

func missingSetting(setting string) error {
	return cterror.New(cterror.Invalid, setting+" is missing", "add it to the settings file")
}

// applyMargin is how long before the bound a proxy without the newest configuration
// stops: what it has begun then is still answered.
const applyMargin = 400 * time.Millisecond

// proxyApplyTimeout is how long a proxy may act on an older configuration than the newest.
func (s *Settings) proxyApplyTimeout() time.Duration {
	return max(0, s.ApplyTimeout-applyMargin)
}

// controlName names the control process at an IP number.
func controlName(address netip.Addr) ctid.Control {
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

// peerAddress is the address at which others reach this process.
func (s *Settings) peerAddress() netip.AddrPort {
	return netip.AddrPortFrom(s.IP, s.PeerPort)
}

// localIP is this VM's own address.
func (s *Settings) localIP() netip.Addr {
	if s.LocalIP.IsValid() {
		return s.LocalIP
	}
	return s.IP
}

// peerListenAddress is the address at which this process takes connections of others.
func (s *Settings) peerListenAddress() netip.AddrPort {
	return netip.AddrPortFrom(s.localIP(), s.PeerPort)
}

// metricsPort is the port at which every process serves its metrics; the
// deployment's file names it too.
const metricsPort = 9464

// metricsAddress is the address at which this process serves its metrics.
func (s *Settings) metricsAddress() netip.AddrPort {
	return netip.AddrPortFrom(s.localIP(), metricsPort)
}

// seedNames names the seeds.
func (s *Settings) seedNames() []ctid.Control {
	var names []ctid.Control
	for _, seed := range s.Seeds {
		names = append(names, controlName(seed))
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
