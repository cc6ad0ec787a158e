package ctuplink

import (
	"net/netip"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// updateControls replaces the addresses of control by those of the control processes
// that a reply named. It does nothing without Options.Resolve or without names.
func (u *Uplink) updateControls(held *ctlock.Held, names []ctid.Control) {
	if u.Resolve == nil || len(names) == 0 {
		return
	}
	var addresses []netip.AddrPort
	for _, name := range names {
		if address, ok := u.Resolve(name); ok {
			addresses = append(addresses, address)
		}
	}
	u.controls.With(held, func(value *[]netip.AddrPort) { *value = addresses })
}

// controlAddresses lists the addresses at which control may be reached: first those
// that control itself named, then the other seeds.
func (u *Uplink) controlAddresses(held *ctlock.Held) []netip.AddrPort {
	current := u.controls.Get(held)
	addresses := slices.Clone(current)
	for _, address := range u.seeds.Get(held) {
		if !slices.Contains(current, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
