package ctfleet

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// Subnet is a network of loopback addresses, 127.n.0.0/16. A fleet whose processes share their port
// numbers needs one of its own.
type Subnet byte

// subnetLockPort is the port on which the holder of a subnet listens. It serves nothing. Packages
// ctsoak and ctheldlink reserve their networks in the same way.
const subnetLockPort = 7439

// ReserveSubnet reserves a subnet that no other fleet on this machine uses, until the listener is
// closed.
func ReserveSubnet() (Subnet, net.Listener, error) {
	const first, last = 20, 250
	for n := first; n <= last; n++ {
		subnet := Subnet(n)
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(subnet.Address(0, 1), subnetLockPort).String())
		if err == nil {
			return subnet, listener, nil
		}
	}
	return 0, nil, errors.New("all networks of loopback addresses are in use")
}

// Address returns an address of the subnet.
func (s Subnet) Address(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(s), byte(kind), byte(number)})
}
