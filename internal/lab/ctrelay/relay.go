package ctrelay

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxPacket is the largest UDP packet.
const maxPacket = 64 << 10

// maxDelayed is how many packets of one direction may be on their way.
const maxDelayed = 1 << 14

// UDPRelay stands in front of one process.
type UDPRelay struct {
	net     *UDPNetwork
	site    Site
	process netip.AddrPort
	front   *net.UDPConn

	mutex   sync.Mutex
	senders map[netip.AddrPort]*sender
	closed  chan struct{}
}

// sender is one process that sends to the relay, with the socket by which its
// packets go on.
type sender struct {
	address netip.AddrPort
	site    Site
	onward  *net.UDPConn
	out     *line
	back    *line
}

// StartUDP starts a relay on the front address for the process behind it.
func StartUDP(n *UDPNetwork, front, process netip.AddrPort, site Site) (*UDPRelay, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(front))
	if err != nil {
		return nil, errors.Wrap(err, "open the relay's address")
	}
	r := &UDPRelay{
		net:     n,
		site:    site,
		process: process,
		front:   socket,
		senders: make(map[netip.AddrPort]*sender),
		closed:  make(chan struct{}),
	}
	go r.receive()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *UDPRelay) Address() netip.AddrPort {
	address, ok := r.front.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return address.AddrPort()
}

// Close ends the relay.
func (r *UDPRelay) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	select {
	case <-r.closed:
		return
	default:
	}
	close(r.closed)
	_ = r.front.Close()
	for _, s := range r.senders {
		_ = s.onward.Close()
	}
}

// receive takes the packets that processes send.
func (r *UDPRelay) receive() {
	buffer := make([]byte, maxPacket)
	for {
		count, from, err := r.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		s, err := r.sender(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if err != nil {
			return
		}
		r.net.count(from.Port(), r.process.Port(), count)
		if delay, ok := r.net.pass(s.site, r.site); ok {
			s.out.send(buffer[:count], delay)
		}
	}
}

// sender returns the sender at an address, a new one where it is not known.
func (r *UDPRelay) sender(from netip.AddrPort) (*sender, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s, ok := r.senders[from]; ok {
		return s, nil
	}
	onward, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.process))
	if err != nil {
		return nil, errors.Wrap(err, "open a socket to the process")
	}
	s := &sender{address: from, site: r.net.siteOf(from.Port()), onward: onward}
	s.out = newLine(r.closed, func(packet []byte) { _, _ = onward.Write(packet) })
	s.back = newLine(r.closed, func(packet []byte) { _, _ = r.front.WriteToUDPAddrPort(packet, from) })
	r.senders[from] = s
	go r.receiveBack(s)
	return s, nil
}

// receiveBack takes the packets that the process answers to a sender.
func (r *UDPRelay) receiveBack(s *sender) {
	buffer := make([]byte, maxPacket)
	for {
		count, err := s.onward.Read(buffer)
		if err != nil {
			select {
			case <-r.closed:
				return
			default:
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		r.net.count(s.address.Port(), r.process.Port(), count)
		if delay, ok := r.net.pass(r.site, s.site); ok {
			s.back.send(buffer[:count], delay)
		}
	}
}

// line carries packets in one direction, in their order.
type line struct {
	packets chan delayed
}

type delayed struct {
	data []byte
	due  time.Time
}

func newLine(closed <-chan struct{}, deliver func(packet []byte)) *line {
	l := &line{packets: make(chan delayed, maxDelayed)}
	go l.carry(closed, deliver)
	return l
}

// send puts a packet on its way. It is dropped where too many are.
func (l *line) send(packet []byte, delay time.Duration) {
	d := delayed{data: append([]byte(nil), packet...), due: time.Now().Add(delay)}
	select {
	case l.packets <- d:
	default:
	}
}

func (l *line) carry(closed <-chan struct{}, deliver func(packet []byte)) {
	for {
		select {
		case <-closed:
			return
		case d := <-l.packets:
			if wait := time.Until(d.due); wait > 0 {
				time.Sleep(wait)
			}
			deliver(d.data)
		}
	}
}
