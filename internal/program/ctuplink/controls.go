package ctuplink

import (
	"net/netip"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// maxControls is how many addresses of control are retained beside the seeds.
const maxControls = 16

// updateControls replaces the addresses of control by those of the control processes
// that a leader's reply named. It does nothing without names.
func (u *Uplink) updateControls(held *ctlock.Held, names []ctid.Control) {
	if len(names) == 0 {
		return
	}
	addresses := u.resolveControls(names)
	u.controls.With(held, func(value *[]netip.AddrPort) { *value = addresses })
}

// addControls adds the addresses of the control processes that a process without a leader
// named, until a leader's reply replaces them. It drops the oldest beyond maxControls.
func (u *Uplink) addControls(held *ctlock.Held, names []ctid.Control) {
	addresses := u.resolveControls(names)
	u.controls.With(held, func(value *[]netip.AddrPort) {
		for _, address := range *value {
			if !slices.Contains(addresses, address) {
				addresses = append(addresses, address)
			}
		}
		*value = addresses[:min(len(addresses), maxControls)]
	})
}

// resolveControls returns the addresses of control processes. It returns none without
// Options.Resolve.
func (u *Uplink) resolveControls(names []ctid.Control) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, name := range names {
		if u.Resolve == nil {
			break
		}
		if address, ok := u.Resolve(name); ok && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
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
