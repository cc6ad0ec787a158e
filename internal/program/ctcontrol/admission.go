package ctcontrol

import (
	"net/netip"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctintake"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// AdmitConnection reports whether a connection from an address is accepted. Those of control
// processes always are.
func (s *Service) AdmitConnection(remote netip.Addr) bool {
	var held ctlock.Held
	admitted := false
	s.gate.With(&held, func(gate *ctintake.Gate) { admitted = gate.Admit(s.Clock.Now()) })
	if !admitted {
		admitted = s.isControl(&held, remote)
	}
	result := "rejected"
	if admitted {
		result = "accepted"
	} else if s.anyHasAddress(s.replica.links.senders(&held), remote) {
		s.Metrics.PeerConnectionsRejected.Inc()
	}
	s.Metrics.Connections.WithLabelValues(result).Inc()
	return admitted
}

// isControl reports whether an address is that of a seed or a voter.
func (s *Service) isControl(held *ctlock.Held, remote netip.Addr) bool {
	return s.anyHasAddress(slices.Concat(s.Seeds, voterNames(s.replica.Voters(held))), remote)
}

// anyHasAddress reports whether an address is that of one of the control processes.
func (s *Service) anyHasAddress(names []ctid.Control, remote netip.Addr) bool {
	return slices.ContainsFunc(names, func(name ctid.Control) bool {
		address, ok := s.Resolve(name)
		return ok && address.Addr() == remote
	})
}
