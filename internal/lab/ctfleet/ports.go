package ctfleet

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The range of allocated ports. It ends below the ephemeral ports of the kernel, which
// begin at 32768. Otherwise a socket without a fixed port could get an allocated port
// after its release and before its process starts.
const (
	firstPort = 10_000
	portCount = 22_000
	// processStride separates the first ports of test processes with consecutive ids,
	// which allocate ports at the same time.
	processStride = 397
)

// portAttempts counts the ports that this process has tried, over all allocators.
var portAttempts atomic.Uint32

// portAllocator allocates free ports of the loopback address. It keeps a socket open on
// each allocated port until releaseAll, so no port is allocated twice.
type portAllocator struct {
	sockets []interface{ Close() error }
}

// allocate returns an address whose port is free for both TCP and UDP.
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

// releaseAll closes the sockets, so the processes can listen on the allocated ports.
func (p *portAllocator) releaseAll() {
	for _, socket := range p.sockets {
		_ = socket.Close()
	}
	p.sockets = nil
}
