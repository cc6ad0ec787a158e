package ctcontrol

import (
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctkey"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctquic"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctstore"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// The providers below are what wire puts a Process together from.

func newKeys(settings ctsettings.Control) (*ctkey.Bundle, error) {
	return ctkey.Load(settings.Keys)
}

func newEndpoint(settings ctsettings.Control, keys *ctkey.Bundle) (*ctquic.Endpoint, error) {
	return ctquic.Listen(settings.Peer.AddrPort, keys)
}

func newStore(settings ctsettings.Control) (*ctstore.Store, error) {
	return ctstore.Open(settings.Data, string(settings.Name))
}

func newJournal(store *ctstore.Store) Journal {
	return &LocalJournal{Store: store}
}

func newControl(
	settings ctsettings.Control, journal Journal, clock ctclock.Clock, logger zerolog.Logger,
) (*Control, error) {
	return New(Options{
		Name:        settings.Name,
		Journal:     journal,
		Clock:       clock,
		Logger:      logger,
		SilenceTime: settings.SilenceTime,
	})
}

func newProcess(
	settings ctsettings.Control, control *Control, store *ctstore.Store, endpoint *ctquic.Endpoint,
	logger zerolog.Logger,
) *Process {
	return &Process{settings: settings, control: control, store: store, endpoint: endpoint, logger: logger}
}
