package ctrelay

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxPacketBytes is the largest UDP packet.
const maxPacketBytes = 64 << 10

// maxQueuedPackets is how many packets of one direction may be on their way.
const maxQueuedPackets = 1 << 14

// UDPRelay stands in front of one process.
type UDPRelay struct {
	network *UDPNetwork
	site    Site
	process netip.AddrPort
	socket  *net.UDPConn

	mutex   sync.Mutex
	senders map[netip.AddrPort]*sender
	closed  chan struct{}
}

// sender is one process that sends to the relay, with the socket by which its
// packets go on.
type sender struct {
	address   netip.AddrPort
	site      Site
	socket    *net.UDPConn
	toProcess *delayQueue
	toSender  *delayQueue
}

// StartUDP starts a relay on the front address for the process behind it.
func StartUDP(n *UDPNetwork, listen, process netip.AddrPort, site Site) (*UDPRelay, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Wrap(err, "open the relay's address")
	}
	r := &UDPRelay{
		network: n,
		site:    site,
		process: process,
		socket:  socket,
		senders: make(map[netip.AddrPort]*sender),
		closed:  make(chan struct{}),
	}
	go r.receiveFromSenders()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *UDPRelay) Address() netip.AddrPort {
	address, ok := r.socket.LocalAddr().(*net.UDPAddr)
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
	_ = r.socket.Close()
	for _, s := range r.senders {
		_ = s.socket.Close()
	}
}

// receiveFromSenders takes the packets that processes send.
func (r *UDPRelay) receiveFromSenders() {
	buffer := make([]byte, maxPacketBytes)
	for {
		count, from, err := r.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		s, err := r.senderFor(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if err != nil {
			return
		}
		r.network.recordTraffic(from.Port(), r.process.Port(), count)
		if delay, ok := r.network.linkState(s.site, r.site); ok {
			s.toProcess.send(buffer[:count], delay)
		}
	}
}

// senderFor returns the sender at an address, a new one where it is not known.
func (r *UDPRelay) senderFor(from netip.AddrPort) (*sender, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s, ok := r.senders[from]; ok {
		return s, nil
	}
	socket, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.process))
	if err != nil {
		return nil, errors.Wrap(err, "open a socket to the process")
	}
	s := &sender{address: from, site: r.network.siteOf(from.Port()), socket: socket}
	s.toProcess = newDelayQueue(r.closed, func(packet []byte) { _, _ = socket.Write(packet) })
	s.toSender = newDelayQueue(r.closed, func(packet []byte) { _, _ = r.socket.WriteToUDPAddrPort(packet, from) })
	r.senders[from] = s
	go r.receiveFromProcess(s)
	return s, nil
}

// receiveFromProcess takes the packets that the process answers to a sender.
func (r *UDPRelay) receiveFromProcess(s *sender) {
	buffer := make([]byte, maxPacketBytes)
	for {
		count, err := s.socket.Read(buffer)
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
		r.network.recordTraffic(s.address.Port(), r.process.Port(), count)
		if delay, ok := r.network.linkState(r.site, s.site); ok {
			s.toSender.send(buffer[:count], delay)
		}
	}
}

// delayQueue carries packets in one direction, in their order.
type delayQueue struct {
	packets chan queuedPacket
}

type queuedPacket struct {
	data      []byte
	deliverAt time.Time
}

func newDelayQueue(closed <-chan struct{}, deliver func(packet []byte)) *delayQueue {
	q := &delayQueue{packets: make(chan queuedPacket, maxQueuedPackets)}
	go q.run(closed, deliver)
	return q
}

// send puts a packet on its way. It is dropped where too many are.
func (q *delayQueue) send(packet []byte, delay time.Duration) {
	p := queuedPacket{data: append([]byte(nil), packet...), deliverAt: time.Now().Add(delay)}
	select {
	case q.packets <- p:
	default:
	}
}

func (q *delayQueue) run(closed <-chan struct{}, deliver func(packet []byte)) {
	for {
		select {
		case <-closed:
			return
		case p := <-q.packets:
			if wait := time.Until(p.deliverAt); wait > 0 {
				time.Sleep(wait)
			}
			deliver(p.data)
		}
	}
}
