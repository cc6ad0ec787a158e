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

// The functions below are the providers from which wire generates Build.

func newKeys(settings ctsettings.Control) (*ctkey.Bundle, error) {
	return ctkey.Load(settings.KeyFolder)
}

func newEndpoint(settings ctsettings.Control, keys *ctkey.Bundle) (*ctquic.Endpoint, error) {
	return ctquic.Listen(settings.PeerListen.AddrPort, keys)
}

func newStore(settings ctsettings.Control) (*ctstore.Store, error) {
	return ctstore.Open(settings.DataFolder, string(settings.Name))
}

// systemRandom is a ctquorum.Random that draws from the process-wide random source.
type systemRandom struct{}

// Int64N returns a random number from 0 to n-1.
func (systemRandom) Int64N(n int64) int64 {
	return rand.Int64N(n)
}

func newPeerAddresses(settings ctsettings.Control) []PeerAddress {
	var peers []PeerAddress
	for _, c := range settings.Peers {
		peers = append(peers, PeerAddress{Name: c.Name, Address: c.Address})
	}
	return peers
}

func newReplica(
	settings ctsettings.Control, store *ctstore.Store, peers []PeerAddress, endpoint *ctquic.Endpoint,
	clock ctclock.Clock, logger zerolog.Logger,
) (*Replica, error) {
	d := &disk{store: store}
	self, err := d.loadOrCreateSelf(settings.Name, clock.Now())
	if err != nil {
		return nil, err
	}
	return &Replica{
		self:      self,
		disk:      d,
		peers:     peers,
		transport: &ctstream.Transport{Endpoint: endpoint},
		clock:     clock,
		logger:    logger,
	}, nil
}

func newControl(
	settings ctsettings.Control, peers []PeerAddress, replica *Replica, clock ctclock.Clock, logger zerolog.Logger,
) *Control {
	control := New(Options{
		Name:          settings.Name,
		Peers:         peers,
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
