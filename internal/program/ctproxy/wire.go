//go:build wireinject

package ctproxy

import (
	"github.com/google/wire"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// Build assembles a proxy from its settings and opens its peer endpoint.
func Build(settings ctsettings.Proxy, clock ctclock.Clock, logger zerolog.Logger) (*Proxy, error) {
	panic(wire.Build(
		newIncarnation, newSelf, newKeys, newEndpoint, newMetrics, newSealer, newRandom, newCallerTLS, newDialer, newTransport,
		newHolder, newEntry, newUplink, newProxy, ctstate.New,
	))
}
