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
	// processPorts spreads the first ports of processes that run at one time.
	processPorts = 397
)

// lastPort counts the ports that this process has tried.
var lastPort atomic.Uint32

// ports hands out free ports of the loopback address. It keeps each port taken
// until all are chosen, so that none is handed out twice.
type ports struct {
	taken []interface{ Close() error }
}

// next returns an address whose port is free for TCP and for UDP.
func (p *ports) next() (netip.AddrPort, error) {
	const tries = 200
	for range tries {
		turn := (uint32(os.Getpid())*processPorts + lastPort.Add(1)) % portCount
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+turn))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			_ = listener.Close()
			continue
		}
		p.taken = append(p.taken, listener, packets)
		return address, nil
	}
	return netip.AddrPort{}, errors.New("no port is free for both TCP and UDP")
}

// release gives the ports free for the processes that they were chosen for.
func (p *ports) release() {
	for _, t := range p.taken {
		_ = t.Close()
	}
	p.taken = nil
}
