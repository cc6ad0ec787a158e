package ctrelay

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxPacketBytes is the size of the receive buffers. No UDP packet is larger.
const maxPacketBytes = 64 << 10

// maxQueuedPackets is how many delayed packets one direction of a sender may have.
// Further packets are dropped.
const maxQueuedPackets = 1 << 14

// UDPRelay forwards packets to one process, and the process's answers back to their
// senders.
type UDPRelay struct {
	network *UDPNetwork
	// domain and process are the failure domain and the address of the process.
	domain  FailureDomain
	process netip.AddrPort
	// socket receives the senders' packets.
	socket *net.UDPConn

	// mutex guards senders and the closing of closed.
	mutex   sync.Mutex
	senders map[netip.AddrPort]*sender
	// closed is closed by Close.
	closed chan struct{}
}

// sender is one process that sends to the relay.
type sender struct {
	address netip.AddrPort
	domain  FailureDomain
	// socket forwards the sender's packets to the process and receives the answers. Each
	// sender has one, so that answers can be matched to their sender.
	socket    *net.UDPConn
	toProcess *delayQueue
	toSender  *delayQueue
}

// StartUDP starts a relay that listens on one address and forwards to the process at
// another. The failure domain is that of the process. The caller closes the relay.
func StartUDP(n *UDPNetwork, listen, process netip.AddrPort, domain FailureDomain) (*UDPRelay, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Wrap(err, "open the relay's address")
	}
	r := &UDPRelay{
		network: n,
		domain:  domain,
		process: process,
		socket:  socket,
		senders: make(map[netip.AddrPort]*sender),
		closed:  make(chan struct{}),
	}
	go r.receiveFromSenders()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *UDPRelay) Address() netip.AddrPort {
	address, ok := r.socket.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return address.AddrPort()
}

// Close closes the relay and drops its delayed packets. Further calls do nothing.
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

// receiveFromSenders receives the senders' packets and queues them for the process.
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
		if delay, ok := r.network.linkState(s.domain, r.domain); ok {
			s.toProcess.send(buffer[:count], delay)
		}
	}
}

// senderFor returns the sender at an address. It creates one at the first packet.
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
	s := &sender{address: from, domain: r.network.domainOf(from.Port()), socket: socket}
	s.toProcess = newDelayQueue(r.closed, func(packet []byte) { _, _ = socket.Write(packet) })
	s.toSender = newDelayQueue(r.closed, func(packet []byte) { _, _ = r.socket.WriteToUDPAddrPort(packet, from) })
	r.senders[from] = s
	go r.receiveFromProcess(s)
	return s, nil
}

// receiveFromProcess receives the process's answers to one sender and queues them. It
// continues after errors, which occur while the process does not run.
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
		if delay, ok := r.network.linkState(r.domain, s.domain); ok {
			s.toSender.send(buffer[:count], delay)
		}
	}
}

// delayQueue delivers packets in one direction, in the order of send. If the delay
// becomes shorter, a packet still waits for those before it.
type delayQueue struct {
	packets chan queuedPacket
}

// queuedPacket is a copy of a packet with the time of its delivery.
type queuedPacket struct {
	data      []byte
	deliverAt time.Time
}

// newDelayQueue starts a goroutine that calls deliver, until closed is closed.
func newDelayQueue(closed <-chan struct{}, deliver func(packet []byte)) *delayQueue {
	q := &delayQueue{packets: make(chan queuedPacket, maxQueuedPackets)}
	go q.run(closed, deliver)
	return q
}

// send queues a copy of a packet. It drops the packet if the queue is full.
func (q *delayQueue) send(packet []byte, delay time.Duration) {
	p := queuedPacket{data: append([]byte(nil), packet...), deliverAt: time.Now().Add(delay)}
	select {
	case q.packets <- p:
	default:
	}
}

// run delivers packets when they are due.
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
