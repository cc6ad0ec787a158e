package ctrelay

import (
	"sync"
	"time"
)

// FailureDomain is the name of a failure domain, which is a set of processes whose links
// are delayed and cut together.
type FailureDomain string

// link is an unordered pair of failure domains.
type link struct {
	a, b FailureDomain
}

// newLink returns the same link for both orders of the failure domains.
func newLink(a, b FailureDomain) link {
	if a > b {
		a, b = b, a
	}
	return link{a: a, b: b}
}

// UDPNetwork holds the state of the links between failure domains. Its zero value
// forwards all packets at once. It is safe for concurrent use.
type UDPNetwork struct {
	// mutex guards all fields.
	mutex  sync.Mutex
	delays map[link]time.Duration
	cuts   map[link]bool
	// The keys of domains and traffic are the UDP ports of processes. Traffic is in bytes.
	domains map[uint16]FailureDomain
	traffic map[uint16]int64
}

// SetFailureDomain sets the failure domain of the process that sends from a UDP port.
func (n *UDPNetwork) SetFailureDomain(port uint16, domain FailureDomain) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.domains == nil {
		n.domains = make(map[uint16]FailureDomain)
	}
	n.domains[port] = domain
}

// SetDelay sets how long a packet takes between two failure domains, one way.
func (n *UDPNetwork) SetDelay(a, b FailureDomain, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.delays == nil {
		n.delays = make(map[link]time.Duration)
	}
	n.delays[newLink(a, b)] = delay
}

// Cut drops all packets between two failure domains, in both directions, until Heal.
func (n *UDPNetwork) Cut(a, b FailureDomain) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[link]bool)
	}
	n.cuts[newLink(a, b)] = true
}

// Heal ends the cut between two failure domains.
func (n *UDPNetwork) Heal(a, b FailureDomain) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.cuts, newLink(a, b))
}

// Isolate cuts the links between a failure domain and the others. It skips the domain
// itself, so others may list all failure domains.
func (n *UDPNetwork) Isolate(domain FailureDomain, others ...FailureDomain) {
	for _, o := range others {
		if o != domain {
			n.Cut(domain, o)
		}
	}
}

// Rejoin ends an Isolate with the same arguments.
func (n *UDPNetwork) Rejoin(domain FailureDomain, others ...FailureDomain) {
	for _, o := range others {
		n.Heal(domain, o)
	}
}

// linkState returns how long a packet takes between two failure domains, and whether
// their link is open.
func (n *UDPNetwork) linkState(a, b FailureDomain) (time.Duration, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := newLink(a, b)
	return n.delays[l], !n.cuts[l]
}

// TrafficBytes returns how many bytes the process at a UDP port has sent and received
// through relays. It counts the payload of the packets, also of those that a cut drops.
func (n *UDPNetwork) TrafficBytes(port uint16) int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.traffic[port]
}

// recordTraffic adds the size of a packet, in bytes, to the traffic of the ports of its
// sender and its receiver.
func (n *UDPNetwork) recordTraffic(a, b uint16, size int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.traffic == nil {
		n.traffic = make(map[uint16]int64)
	}
	n.traffic[a] += int64(size)
	n.traffic[b] += int64(size)
}

// domainOf returns the failure domain that was set for a port, or an empty one.
func (n *UDPNetwork) domainOf(port uint16) FailureDomain {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.domains[port]
}
