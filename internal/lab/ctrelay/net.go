package ctrelay

import (
	"sync"
	"time"
)

// Site names where a process is.
type Site string

// link is an unordered pair of sites.
type link struct {
	a, b Site
}

func newLink(a, b Site) link {
	if a > b {
		a, b = b, a
	}
	return link{a: a, b: b}
}

// UDPNetwork states how packets pass between sites. Its zero value passes all of them
// at once.
type UDPNetwork struct {
	mutex   sync.Mutex
	delays  map[link]time.Duration
	cuts    map[link]bool
	sites   map[uint16]Site
	traffic map[uint16]int64
}

// SetSite tells the site of the process that sends from a UDP port.
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

// Cut drops all packets between two sites until Heal.
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

// Isolate cuts a site off from the others.
func (n *UDPNetwork) Isolate(site Site, others ...Site) {
	for _, o := range others {
		if o != site {
			n.Cut(site, o)
		}
	}
}

// Rejoin ends an Isolate.
func (n *UDPNetwork) Rejoin(site Site, others ...Site) {
	for _, o := range others {
		n.Heal(site, o)
	}
}

// linkState returns how long a packet takes between two sites, and whether it gets
// there.
func (n *UDPNetwork) linkState(a, b Site) (time.Duration, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := newLink(a, b)
	return n.delays[l], !n.cuts[l]
}

// TrafficBytes returns how many bytes of packets the process at a UDP port has sent and
// received.
func (n *UDPNetwork) TrafficBytes(port uint16) int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.traffic[port]
}

// recordTraffic counts a packet for the processes at both of its ends.
func (n *UDPNetwork) recordTraffic(a, b uint16, size int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.traffic == nil {
		n.traffic = make(map[uint16]int64)
	}
	n.traffic[a] += int64(size)
	n.traffic[b] += int64(size)
}

// siteOf returns the site of a port; the empty one where it is not known.
func (n *UDPNetwork) siteOf(port uint16) Site {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.sites[port]
}
