package ctrelay

import (
	"sync"
	"time"
)

// Site is the name of a process's failure domain.
type Site string

// link is an unordered pair of sites.
type link struct {
	a, b Site
}

// newLink returns the same link for both orders of the sites.
func newLink(a, b Site) link {
	if a > b {
		a, b = b, a
	}
	return link{a: a, b: b}
}

// UDPNetwork holds the state of the links between sites. Its zero value forwards all
// packets at once. It is safe for concurrent use.
type UDPNetwork struct {
	// mutex guards all fields.
	mutex  sync.Mutex
	delays map[link]time.Duration
	cuts   map[link]bool
	// The keys of sites and traffic are the UDP ports of processes. Traffic is in bytes.
	sites   map[uint16]Site
	traffic map[uint16]int64
}

// SetSite sets the site of the process that sends from a UDP port.
func (n *UDPNetwork) SetSite(port uint16, site Site) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.sites == nil {
		n.sites = make(map[uint16]Site)
	}
	n.sites[port] = site
}

// SetDelay sets how long a packet takes between two sites, one way.
func (n *UDPNetwork) SetDelay(a, b Site, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.delays == nil {
		n.delays = make(map[link]time.Duration)
	}
	n.delays[newLink(a, b)] = delay
}

// Cut drops all packets between two sites, in both directions, until Heal.
func (n *UDPNetwork) Cut(a, b Site) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[link]bool)
	}
	n.cuts[newLink(a, b)] = true
}

// Heal ends the cut between two sites.
func (n *UDPNetwork) Heal(a, b Site) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.cuts, newLink(a, b))
}

// Isolate cuts the links between a site and the others. It skips the site itself, so
// others may list all sites.
func (n *UDPNetwork) Isolate(site Site, others ...Site) {
	for _, o := range others {
		if o != site {
			n.Cut(site, o)
		}
	}
}

// Rejoin ends an Isolate with the same arguments.
func (n *UDPNetwork) Rejoin(site Site, others ...Site) {
	for _, o := range others {
		n.Heal(site, o)
	}
}

// linkState returns how long a packet takes between two sites, and whether their link
// is open.
func (n *UDPNetwork) linkState(a, b Site) (time.Duration, bool) {
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

// siteOf returns the site that was set for a port, or an empty one.
func (n *UDPNetwork) siteOf(port uint16) Site {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.sites[port]
}
