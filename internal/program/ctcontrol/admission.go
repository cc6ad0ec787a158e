package ctcontrol

import (
	"net/netip"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctintake"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// admission decides on the connections of other processes.
type admission struct {
	gate ctintake.Gate
	// seeds are the control processes in the settings that are in force.
	seeds []ctid.Control
}

// connectionDecision is the decision on a connection, as metrics name it.
type connectionDecision string

const (
	connectionAccepted connectionDecision = "accepted"
	// connectionOfControl means that it is accepted beyond the bound.
	connectionOfControl connectionDecision = "control"
	connectionRejected  connectionDecision = "rejected"
)

// AdmitConnection reports whether a connection from an address is accepted. Those of control
// processes always are.
func (s *Service) AdmitConnection(remote netip.Addr) bool {
	var held ctlock.Held
	decision := s.decideConnection(&held, remote)
	s.Metrics.Connections.WithLabelValues(string(decision)).Inc()
	return decision != connectionRejected
}

func (s *Service) decideConnection(held *ctlock.Held, remote netip.Addr) connectionDecision {
	admitted := false
	s.admission.With(held, func(a *admission) { admitted = a.gate.AdmitFrom(s.Clock.Now(), remote) })
	switch {
	case admitted:
		return connectionAccepted
	case s.isControl(held, remote):
		return connectionOfControl
	}
	return connectionRejected
}

// isControl reports whether an address is that of a seed, of the leader, of a voter, of a process
// that this one asks to join, or of one that has sent a message of the replicated log.
func (s *Service) isControl(held *ctlock.Held, remote netip.Addr) bool {
	return s.anyHasAddress(slices.Concat(
		s.admission.Get(held).seeds, s.replica.Controls(held), s.replica.links.senders(held),
	), remote)
}

// anyHasAddress reports whether an address is that of one of the control processes.
func (s *Service) anyHasAddress(names []ctid.Control, remote netip.Addr) bool {
	return slices.ContainsFunc(names, func(name ctid.Control) bool {
		address, ok := s.Resolve(name)
		return ok && address.Addr() == remote
	})
}
