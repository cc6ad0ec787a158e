package ctview

import (
	"net/netip"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Proxy describes a live proxy.
type Proxy struct {
	Name          ctid.Proxy         `json:"name" cbor:"name"`
	FailureDomain ctid.FailureDomain `json:"failure_domain" cbor:"failure_domain"`
	// Address is the listener for QUIC connections of other proxies.
	Address     netip.AddrPort   `json:"address" cbor:"address"`
	Incarnation ctid.Incarnation `json:"incarnation" cbor:"incarnation"`
	State       ctserver.State   `json:"state" cbor:"state"`
}

// Check returns an error of kind cterror.Invalid for the first invalid field.
func (p *Proxy) Check() error {
	if err := p.Name.Check(); err != nil {
		return err
	}
	if err := p.FailureDomain.Check(); err != nil {
		return err
	}
	if !p.Address.IsValid() || p.Address.Port() == 0 {
		return cterror.New(cterror.Invalid, "proxy address is missing",
			"give the IP number and port of its QUIC listener")
	}
	if p.Incarnation == 0 {
		return cterror.New(cterror.Invalid, "proxy incarnation is 0", "give a number that grows with each start")
	}
	return nil
}
