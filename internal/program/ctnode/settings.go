package ctnode

import (
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Settings configure a process at its start.
type Settings struct {
	// Name is the VM's name. It appears in logs and in calls to outside services.
	Name string
	// IP is the address at which other processes reach this one.
	IP netip.Addr
	// LocalIP is the VM's own address for peers, members and metrics, if a network
	// translates IP to it. If it is invalid, IP is used.
	LocalIP       netip.Addr
	FailureDomain ctid.FailureDomain
	// CallerAddress and ReadinessAddress are served by a proxy, and OperatorAddress by a
	// control process. Those of the other role are invalid.
	CallerAddress    netip.AddrPort
	ReadinessAddress netip.AddrPort
	OperatorAddress  netip.AddrPort
	// PeerPort is the port at which all processes accept connections of their peers.
	PeerPort uint16
	// Seeds are the IP addresses of control processes at the start; all of them may be
	// gone later.
	Seeds []netip.Addr
	// Bootstrap reports whether the whole fleet starts for the first time.
	Bootstrap bool
	// MaxDiskLosses is how many disks may be lost at once.
	MaxDiskLosses int
	// DataFolder holds the journal of a control process.
	DataFolder string
	// PromoterAddress is the address of the service that promotes members.
	PromoterAddress netip.AddrPort
	// ApplyTimeout is how long after its acceptance a configuration must be in force
	// everywhere; 0 for no bound.
	ApplyTimeout time.Duration
	// StopTimeout is how long a planned stop may take.
	StopTimeout time.Duration
	// Quotas say how strictly the rate limits of workspaces are enforced.
	Quotas ctquota.Bounds
	// Placement says how members are selected; nil leaves it to the configuration.
	Placement ctplace.Policy
	// MemoryMB is how much memory the process may use, in megabytes; 0 for no limit.
	MemoryMB int
	// DescriptorLimit is how many descriptors the process may have open; 0 for no limit.
	DescriptorLimit int
}

// Check returns an error for the first missing setting among those that both roles
// need.
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

// missingSetting returns the error for a setting that the settings file lacks.
func missingSetting(setting string) error {
	return cterror.New(cterror.Invalid, setting+" is missing", "add it to the settings file")
}

// applyMargin is how long before the end of Settings.ApplyTimeout a proxy without the
// newest configuration must stop new work. The statements that it has begun can then
// still be answered in time.
const applyMargin = 400 * time.Millisecond

// proxyApplyTimeout returns how long a proxy may act on its configuration after control
// has accepted a newer one; 0 means no limit.
func (s *Settings) proxyApplyTimeout() time.Duration {
	return max(0, s.ApplyTimeout-applyMargin)
}

// controlName returns the name of the control process at an IP address.
func controlName(address netip.Addr) ctid.Control {
	return ctid.Control(address.String())
}

// resolve returns the peer address of a control process, and false if its name is not an
// IP address.
func (s *Settings) resolve(name ctid.Control) (netip.AddrPort, bool) {
	address, err := netip.ParseAddr(string(name))
	if err != nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(address, s.PeerPort), true
}

// peerAddress returns the address at which peers reach this process.
func (s *Settings) peerAddress() netip.AddrPort {
	return netip.AddrPortFrom(s.IP, s.PeerPort)
}

// localIP returns LocalIP, or IP if LocalIP is invalid.
func (s *Settings) localIP() netip.Addr {
	if s.LocalIP.IsValid() {
		return s.LocalIP
	}
	return s.IP
}

// peerListenAddress returns the address at which this process listens for its peers.
func (s *Settings) peerListenAddress() netip.AddrPort {
	return netip.AddrPortFrom(s.localIP(), s.PeerPort)
}

// metricsPort is the port at which every process serves its metrics. The deployment's
// file contains the same number.
const metricsPort = 9464

// metricsAddress returns the address at which this process serves its metrics.
func (s *Settings) metricsAddress() netip.AddrPort {
	return netip.AddrPortFrom(s.localIP(), metricsPort)
}

// seedNames returns the names of the control processes that the seeds address.
func (s *Settings) seedNames() []ctid.Control {
	var names []ctid.Control
	for _, seed := range s.Seeds {
		names = append(names, controlName(seed))
	}
	return names
}

// seedAddresses returns the peer addresses of the seeds.
func (s *Settings) seedAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, seed := range s.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(seed, s.PeerPort))
	}
	return addresses
}
