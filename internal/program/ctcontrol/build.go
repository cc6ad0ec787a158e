package ctcontrol

import (
	"math/rand/v2"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctkey"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctquic"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstream"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctstore"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// The providers below are what wire puts a Process together from.

func newKeys(settings ctsettings.Control) (*ctkey.Bundle, error) {
	return ctkey.Load(settings.KeyFolder)
}

func newEndpoint(settings ctsettings.Control, keys *ctkey.Bundle) (*ctquic.Endpoint, error) {
	return ctquic.Listen(settings.PeerListen.AddrPort, keys)
}

func newStore(settings ctsettings.Control) (*ctstore.Store, error) {
	return ctstore.Open(settings.DataFolder, string(settings.Name))
}

// random is the machine's random source.
type random struct{}

// Int64N returns a number from 0 to n-1.
func (random) Int64N(n int64) int64 {
	return rand.Int64N(n)
}

func newContacts(settings ctsettings.Control) []PeerAddress {
	var contacts []PeerAddress
	for _, c := range settings.Peers {
		contacts = append(contacts, PeerAddress{Name: c.Name, Address: c.Address})
	}
	return contacts
}

func newReplica(
	settings ctsettings.Control, store *ctstore.Store, contacts []PeerAddress, endpoint *ctquic.Endpoint,
	clock ctclock.Clock, logger zerolog.Logger,
) (*Replica, error) {
	d := &disk{store: store}
	self, err := d.identify(settings.Name, clock.Now())
	if err != nil {
		return nil, err
	}
	return &Replica{
		self:     self,
		disk:     d,
		contacts: contacts,
		ways:     &ctstream.Transport{Endpoint: endpoint},
		clock:    clock,
		logger:   logger,
	}, nil
}

func newControl(
	settings ctsettings.Control, contacts []PeerAddress, replica *Replica, clock ctclock.Clock, logger zerolog.Logger,
) *Control {
	control := New(Options{
		Name:          settings.Name,
		Peers:         contacts,
		Clock:         clock,
		Logger:        logger,
		ReportTimeout: settings.ReportTimeout,
	})
	control.SetProposer(replica)
	return control
}

func newProcess(
	settings ctsettings.Control, control *Control, replica *Replica, store *ctstore.Store,
	endpoint *ctquic.Endpoint, logger zerolog.Logger,
) *Process {
	return &Process{
		settings: settings, control: control, replica: replica, store: store, endpoint: endpoint, logger: logger,
	}
}
