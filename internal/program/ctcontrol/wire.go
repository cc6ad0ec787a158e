//go:build wireinject

package ctcontrol

import (
	"github.com/google/wire"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// Build puts a control process together from its settings.
func Build(settings ctsettings.Control, clock ctclock.Clock, logger zerolog.Logger) (*Process, error) {
	panic(wire.Build(newKeys, newEndpoint, newStore, newPeerAddresses, newReplica, newControl, newProcess))
}
