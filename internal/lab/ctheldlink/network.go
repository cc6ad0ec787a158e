package ctheldlink

import (
	"bytes"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Host names a process, a member or the service that promotes members.
type Host string

// link is one direction between two hosts.
type link struct {
	from, to Host
}

// Network holds the state of the links between hosts. Its zero value forwards all bytes at
// once. It is safe for concurrent use.
type Network struct {
	// mutex guards all fields and the bytes of all holds.
	mutex sync.Mutex
	hosts map[netip.Addr]Host
	holds map[link]*Hold
	// active has the holds that are not released, and releasedAt when a disturbance of a
	// host last ended.
	active     []*Hold
	releasedAt map[Host]time.Time
	// disturbances counts the other disturbances of a host that have not ended.
	disturbances map[Host]int
}

// Hold is a time in which bytes are held back on one link.
type Hold struct {
	network  *Network
	link     link
	released chan struct{}
	data     []byte
}

// SetHost sets the host that connects from an address.
func (n *Network) SetHost(address netip.Addr, host Host) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.hosts == nil {
		n.hosts = make(map[netip.Addr]Host)
	}
	n.hosts[address] = host
}

// hostAt returns the host that connects from an address, or an empty one.
func (n *Network) hostAt(address netip.Addr) Host {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.hosts[address]
}

// Hold holds back all bytes that one host sends to another from now on. If their link is
// held already, it returns that hold.
func (n *Network) Hold(from, to Host) *Hold {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := link{from, to}
	if h, ok := n.holds[l]; ok {
		return h
	}
	if n.holds == nil {
		n.holds = make(map[link]*Hold)
	}
	h := &Hold{network: n, link: l, released: make(chan struct{})}
	n.holds[l] = h
	n.active = append(n.active, h)
	return h
}

// HoldBoth holds both directions between a host and each of the others.
func (n *Network) HoldBoth(host Host, others ...Host) Holds {
	var holds Holds
	for _, o := range others {
		holds = append(holds, n.Hold(host, o), n.Hold(o, host))
	}
	return holds
}

// Held reports whether a link is held.
func (n *Network) Held(from, to Host) bool {
	return n.holdOf(link{from, to}, nil) != nil
}

// holdOf returns the hold in force on a link, or nil. It adds data to the bytes of the hold.
func (n *Network) holdOf(l link, data []byte) *Hold {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	h := n.holds[l]
	if h != nil {
		h.data = append(h.data, data...)
	}
	return h
}

// BeginDisturbance records that a host's process is killed or suspended.
func (n *Network) BeginDisturbance(host Host) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.disturbances == nil {
		n.disturbances = make(map[Host]int)
	}
	n.disturbances[host]++
}

// EndDisturbance records that a host's process runs again.
func (n *Network) EndDisturbance(host Host) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.disturbances[host]--
	n.setReleased(host)
}

// setReleased records that a disturbance of hosts ends now. The caller has locked the mutex.
func (n *Network) setReleased(hosts ...Host) {
	if n.releasedAt == nil {
		n.releasedAt = make(map[Host]time.Time)
	}
	for _, h := range hosts {
		n.releasedAt[h] = time.Now()
	}
}

// DisturbedSince reports whether a host was disturbed at any time since a moment: a link of it
// was held, or its process was killed or suspended.
func (n *Network) DisturbedSince(host Host, since time.Time) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, h := range n.active {
		if h.link.from == host || h.link.to == host {
			return true
		}
	}
	return n.disturbances[host] > 0 || n.releasedAt[host].After(since)
}

// Detach lets later bytes pass, while those that are held back stay so until Release.
func (h *Hold) Detach() {
	h.network.mutex.Lock()
	defer h.network.mutex.Unlock()
	h.detach()
}

// detach is Detach for a caller that has locked the network's mutex.
func (h *Hold) detach() {
	if h.network.holds[h.link] == h {
		delete(h.network.holds, h.link)
	}
}

// Release delivers the bytes and lets later ones pass. Further calls do nothing.
func (h *Hold) Release() {
	h.network.mutex.Lock()
	defer h.network.mutex.Unlock()
	h.detach()
	if !slices.Contains(h.network.active, h) {
		return
	}
	h.network.active = slices.DeleteFunc(h.network.active, func(o *Hold) bool { return o == h })
	h.network.setReleased(h.link.from, h.link.to)
	close(h.released)
}

// Contains reports whether a text is among the bytes that were held back.
func (h *Hold) Contains(text string) bool {
	h.network.mutex.Lock()
	defer h.network.mutex.Unlock()
	return bytes.Contains(h.data, []byte(text))
}

// Holds are several holds that end together.
type Holds []*Hold

// Release releases all holds.
func (s Holds) Release() {
	for _, h := range s {
		h.Release()
	}
}
