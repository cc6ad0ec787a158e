package ctfleet

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// ports hands out free ports of the loopback address. It keeps each port taken
// until all are chosen, so that none is handed out twice.
type ports struct {
	taken []interface{ Close() error }
}

// next returns an address whose port is free for TCP and for UDP.
func (p *ports) next() (netip.AddrPort, error) {
	const tries = 50
	for range tries {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "find a free port")
		}
		address, err := netip.ParseAddrPort(listener.Addr().String())
		if err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "read a free port")
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
