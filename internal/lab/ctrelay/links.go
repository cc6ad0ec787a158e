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
	mutex   sync.Mutex
	cuts    map[direction]bool
	delays  map[netip.Addr]time.Duration
	streams map[*stream]bool
	// changed is closed when a cut begins or ends.
	changed chan struct{}
}

// Cut stops all bytes from one host to another, until Heal. The other direction
// stays open.
func (l *TCPNetwork) Cut(from, to netip.Addr) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cuts == nil {
		l.cuts = make(map[direction]bool)
	}
	l.cuts[direction{from, to}] = true
	l.tell()
}

// Heal ends a Cut.
func (l *TCPNetwork) Heal(from, to netip.Addr) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.cuts, direction{from, to})
	l.tell()
}

// tell wakes the streams that wait. The caller holds the mutex.
func (l *TCPNetwork) tell() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// SetDelay sets how long bytes to and from a host take, one way.
func (l *TCPNetwork) SetDelay(host netip.Addr, delay time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.delays == nil {
		l.delays = make(map[netip.Addr]time.Duration)
	}
	l.delays[host] = delay
}

// Reset resets the open connections of a host.
func (l *TCPNetwork) Reset(host netip.Addr) {
	for _, s := range l.of(host) {
		s.reset()
	}
}

// Blackhole makes the open connections of a host carry nothing more, without a
// reset. New ones pass.
func (l *TCPNetwork) Blackhole(host netip.Addr) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for s := range l.streams {
		if s.touches(host) {
			l.streams[s] = true
		}
	}
	l.tell()
}

// of returns the open connections of a host.
func (l *TCPNetwork) of(host netip.Addr) []*stream {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []*stream
	for s := range l.streams {
		if s.touches(host) {
			found = append(found, s)
		}
	}
	return found
}

// touches reports whether a host is at an end of the connection.
func (s *stream) touches(host netip.Addr) bool {
	return s.source == host || s.target == host
}

func (l *TCPNetwork) add(s *stream) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.streams == nil {
		l.streams = make(map[*stream]bool)
	}
	l.streams[s] = false
}

func (l *TCPNetwork) remove(s *stream) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.streams, s)
}

// state returns whether bytes of a stream are stopped, how long they take, and
// what is closed when that may have changed.
func (l *TCPNetwork) state(s *stream, d direction) (stopped bool, delay time.Duration, changed <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.streams[s] || l.cuts[d], l.delays[d.from] + l.delays[d.to], l.changed
}
