package ctproxy

import (
	"context"
	"crypto/tls"
	"math/rand/v2"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctkey"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctquic"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttoken"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctentry"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctholding"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstream"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctuplink"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// The functions below are the providers from which wire generates Build.

func newIncarnation(clock ctclock.Clock) ctid.Incarnation {
	return ctid.Incarnation(clock.Now().UnixNano())
}

func newKeys(settings ctsettings.Proxy) (*ctkey.Bundle, error) {
	return ctkey.Load(settings.KeyFolder)
}

func newEndpoint(settings ctsettings.Proxy, keys *ctkey.Bundle) (*ctquic.Endpoint, error) {
	return ctquic.Listen(settings.PeerListen.AddrPort, keys)
}

func newMetrics() *ctmetric.Metrics {
	return ctmetric.New(prometheus.NewRegistry())
}

func newSealer(keys *ctkey.Bundle) *cttoken.Sealer {
	return &cttoken.Sealer{Keys: keys.TokenKeys}
}

// random draws from the process's global random source.
type random struct{}

// Int64N returns a number from 0 to n-1.
func (random) Int64N(n int64) int64 {
	return rand.Int64N(n)
}

func newRandom() ctretry.Random {
	return random{}
}

// callerTLS is the TLS configuration for callers' connections; nil for none.
type callerTLS *tls.Config

func newCallerTLS(settings ctsettings.Proxy) (callerTLS, error) {
	if settings.CallerCertFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(settings.CallerCertFile, settings.CallerKeyFile)
	if err != nil {
		return nil, cterror.Wrap(cterror.Invalid, err, "load the caller certificate",
			"give a PEM certificate and its key")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// dialer opens connections to backend servers as the proxy's database user.
type dialer struct {
	user     string
	password string
}

// Dial connects to the member that sent the announcement. The label becomes the
// connection's application name.
func (d dialer) Dial(
	ctx context.Context, announced ctserver.Announcement, label string,
) (*ctbackend.Conn, error) {
	return ctbackend.Dial(ctx, ctbackend.Target{
		Address:         announced.Address,
		Database:        string(announced.Group),
		User:            d.user,
		Password:        d.password,
		ApplicationName: label,
	})
}

func newDialer(settings ctsettings.Proxy) ctholding.Dialer {
	return dialer{user: settings.BackendUser, password: settings.BackendPassword}
}

func newTransport(endpoint *ctquic.Endpoint) *ctstream.Transport {
	return &ctstream.Transport{Endpoint: endpoint}
}

// newSelf returns the description of this proxy for the view. Its address is the
// advertised one if that is set, else the one that the endpoint listens on.
func newSelf(settings ctsettings.Proxy, incarnation ctid.Incarnation, endpoint *ctquic.Endpoint) ctview.Proxy {
	address := endpoint.Address()
	if settings.PeerAdvertise.IsValid() {
		address = settings.PeerAdvertise.AddrPort
	}
	return ctview.Proxy{
		Name:          settings.Name,
		FailureDomain: settings.FailureDomain,
		Address:       address,
		Incarnation:   incarnation,
		State:         ctserver.StateReady,
	}
}

func newHolder(
	settings ctsettings.Proxy, self ctview.Proxy, state *ctstate.State, dialer ctholding.Dialer,
	transport *ctstream.Transport, clock ctclock.Clock, logger zerolog.Logger, metrics *ctmetric.Metrics,
) *ctholding.Holder {
	return ctholding.New(ctholding.Options{
		Self:      self,
		State:     state,
		Dialer:    dialer,
		Transport: transport,
		Clock:     clock,
		Logger:    logger,
		Metrics:   metrics,
		Workers:   settings.Workers,
	})
}

// resourcesOf returns what the settings let the process use.
func resourcesOf(settings ctsettings.Proxy) ctbudget.Resources {
	return ctbudget.Resources{MemoryMB: settings.MemoryMB, Descriptors: settings.Descriptors}
}

func newEntry(
	settings ctsettings.Proxy, incarnation ctid.Incarnation, state *ctstate.State, transport *ctstream.Transport,
	sealer *cttoken.Sealer, clock ctclock.Clock, random ctretry.Random, logger zerolog.Logger,
	metrics *ctmetric.Metrics, encryption callerTLS,
) *ctentry.Entry {
	return ctentry.New(ctentry.Options{
		Proxy:         settings.Name,
		Incarnation:   incarnation,
		FailureDomain: settings.FailureDomain,
		State:         state,
		Transport:     transport,
		Sealer:        sealer,
		Clock:         clock,
		Random:        random,
		Logger:        logger,
		Metrics:       metrics,
		TLS:           encryption,
		Accounts: ctaccount.New(ctaccount.Options{
			Listener: "callers", Limits: ctbudget.LimitsOf(resourcesOf(settings), ctentry.CallerShare),
			Clock: clock, Logger: logger, Metrics: &metrics.Clients,
		}),
		Workers: settings.Workers,
	})
}

// newUplink also lets the holder trigger reports, so that control is notified of urgent
// changes before the next heartbeat.
func newUplink(
	settings ctsettings.Proxy, self ctview.Proxy, state *ctstate.State, holder *ctholding.Holder,
	entry *ctentry.Entry, transport *ctstream.Transport, clock ctclock.Clock, logger zerolog.Logger,
	metrics *ctmetric.Metrics,
) *ctuplink.Uplink {
	uplink := ctuplink.New(ctuplink.Options{
		Self:              self,
		Seeds:             settings.Control,
		Peers:             settings.Peers,
		HeartbeatInterval: settings.HeartbeatInterval,
		State:             state,
		Members:           holder,
		Subscribers:       []ctuplink.ViewSubscriber{holder, entry},
		Transport:         transport,
		Clock:             clock,
		Logger:            logger,
		Metrics:           metrics,
	})
	holder.OnUrgentChange(uplink.TriggerReport)
	return uplink
}

func newProxy(
	settings ctsettings.Proxy, state *ctstate.State, endpoint *ctquic.Endpoint, entry *ctentry.Entry,
	holder *ctholding.Holder, uplink *ctuplink.Uplink, metrics *ctmetric.Metrics, clock ctclock.Clock,
	logger zerolog.Logger,
) *Proxy {
	return &Proxy{
		settings: settings,
		state:    state,
		endpoint: endpoint,
		entry:    entry,
		holder:   holder,
		uplink:   uplink,
		metrics:  metrics,
		clock:    clock,
		logger:   logger,
	}
}
