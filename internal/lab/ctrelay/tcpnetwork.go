package ctrelay

import (
	"net/netip"
	"sync"
	"time"
)

// direction is one direction between two hosts.
type direction struct {
	from, to netip.Addr
}

// TCPNetwork holds the state of the TCP links between hosts, which it tells apart by
// their addresses. Its zero value forwards all bytes at once. It is safe for concurrent
// use.
type TCPNetwork struct {
	// mutex guards all fields.
	mutex  sync.Mutex
	cuts   map[direction]bool
	delays map[netip.Addr]time.Duration
	// connections are the open connections. The value is true for those that Blackhole
	// has stopped.
	connections map[*connection]bool
	// changed is closed when Cut, Heal or Blackhole changes a link. It is nil while
	// nobody waits.
	changed chan struct{}
}

// Cut stops all bytes from one host to another, until Heal. The other direction
// stays open. Heal delivers the stopped bytes, but a connection whose bytes were stopped
// for longer than resetTimeout is reset.
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

// notifyWaiters wakes the connections that wait for a link. The caller has locked the
// mutex.
func (n *TCPNetwork) notifyWaiters() {
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

// SetDelay sets how long bytes to and from a host take, one way. The delays of both ends
// of a connection add up.
func (n *TCPNetwork) SetDelay(host netip.Addr, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.delays == nil {
		n.delays = make(map[netip.Addr]time.Duration)
	}
	n.delays[host] = delay
}

// Reset resets both ends of the open connections of a host.
func (n *TCPNetwork) Reset(host netip.Addr) {
	for _, c := range n.connectionsOf(host) {
		c.reset()
	}
}

// Blackhole stops all bytes of the open connections of a host, for good. Each one is
// reset once bytes have been stopped for resetTimeout. New connections work.
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

// add records an open connection.
func (n *TCPNetwork) add(c *connection) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.connections == nil {
		n.connections = make(map[*connection]bool)
	}
	n.connections[c] = false
}

// remove removes a connection that has ended.
func (n *TCPNetwork) remove(c *connection) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.connections, c)
}

// stateOf returns whether the bytes of a connection are stopped in one direction, how
// long they take, and a channel that is closed at the next Cut, Heal or Blackhole.
func (n *TCPNetwork) stateOf(c *connection, d direction) (stopped bool, delay time.Duration, changed <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.connections[c] || n.cuts[d], n.delays[d.from] + n.delays[d.to], n.changed
}
