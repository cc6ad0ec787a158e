package ctfleet

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports that are handed out. They lie below those that the kernel gives to
// sockets that name none (from 32768), so that no such socket takes one between
// its release and the start of its process.
const (
	firstPort = 10_000
	portCount = 22_000
	// processStride spreads the first ports of processes that run at one time.
	processStride = 397
)

// portAttempts counts the ports that this process has tried.
var portAttempts atomic.Uint32

// portAllocator hands out free ports of the loopback address. It keeps each port taken
// until all are chosen, so that none is handed out twice.
type portAllocator struct {
	sockets []interface{ Close() error }
}

// allocate returns an address whose port is free for TCP and for UDP.
func (p *portAllocator) allocate() (netip.AddrPort, error) {
	const attempts = 200
	for range attempts {
		offset := (uint32(os.Getpid())*processStride + portAttempts.Add(1)) % portCount
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+offset))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		packetSocket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			_ = listener.Close()
			continue
		}
		p.sockets = append(p.sockets, listener, packetSocket)
		return address, nil
	}
	return netip.AddrPort{}, errors.New("no port is free for both TCP and UDP")
}

// releaseAll gives the ports free for the processes that they were chosen for.
func (p *portAllocator) releaseAll() {
	for _, socket := range p.sockets {
		_ = socket.Close()
	}
	p.sockets = nil
}
