package ctrelay

import (
	"net/netip"
	"sync"
	"time"
)

// direction leads from one host to another.
type direction struct {
	from, to netip.Addr
}

// TCPNetwork states how TCP connections pass between hosts, which are told apart by
// their addresses. Its zero value passes all at once.
type TCPNetwork struct {
	mutex       sync.Mutex
	cuts        map[direction]bool
	delays      map[netip.Addr]time.Duration
	connections map[*connection]bool
	// changed is closed when a cut begins or ends.
	changed chan struct{}
}

// Cut stops all bytes from one host to another, until Heal. The other direction
// stays open.
func (n *TCPNetwork) Cut(from, to netip.Addr) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[direction]bool)
	}
	n.cuts[direction{from, to}] = true
	n.notifyWaiters()
}

// Heal ends a Cut.
func (n *TCPNetwork) Heal(from, to netip.Addr) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.cuts, direction{from, to})
	n.notifyWaiters()
}

// notifyWaiters wakes the streams that wait. The caller holds the mutex.
func (n *TCPNetwork) notifyWaiters() {
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

// SetDelay sets how long bytes to and from a host take, one way.
func (n *TCPNetwork) SetDelay(host netip.Addr, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.delays == nil {
		n.delays = make(map[netip.Addr]time.Duration)
	}
	n.delays[host] = delay
}

// Reset resets the open connections of a host.
func (n *TCPNetwork) Reset(host netip.Addr) {
	for _, c := range n.connectionsOf(host) {
		c.reset()
	}
}

// Blackhole makes the open connections of a host carry nothing more, without a
// reset. New ones pass.
func (n *TCPNetwork) Blackhole(host netip.Addr) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for c := range n.connections {
		if c.hasEnd(host) {
			n.connections[c] = true
		}
	}
	n.notifyWaiters()
}

// connectionsOf returns the open connections of a host.
func (n *TCPNetwork) connectionsOf(host netip.Addr) []*connection {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var found []*connection
	for c := range n.connections {
		if c.hasEnd(host) {
			found = append(found, c)
		}
	}
	return found
}

// hasEnd reports whether a host is at an end of the connection.
func (c *connection) hasEnd(host netip.Addr) bool {
	return c.clientHost == host || c.serverHost == host
}

func (n *TCPNetwork) add(c *connection) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.connections == nil {
		n.connections = make(map[*connection]bool)
	}
	n.connections[c] = false
}

func (n *TCPNetwork) remove(c *connection) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.connections, c)
}

// stateOf returns whether bytes of a stream are stopped, how long they take, and
// what is closed when that may have changed.
func (n *TCPNetwork) stateOf(c *connection, d direction) (stopped bool, delay time.Duration, changed <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.connections[c] || n.cuts[d], n.delays[d.from] + n.delays[d.to], n.changed
}
