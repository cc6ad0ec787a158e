package ctnode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctgateway"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctuplink"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// The times of a proxy process.
const (
	// reportInterval is the time between two reports to control.
	reportInterval = 400 * time.Millisecond
	// watchTimeout bounds a watch: control holds one for 1.5 s, and the rest is for a
	// large answer over a slow link. A watch that fell silent must not keep a
	// configuration back for longer than it may take to be in force.
	watchTimeout = 3500 * time.Millisecond
	// balancerGrace is how long callers may still be sent here after the proxy has
	// become unready.
	balancerGrace = 2200 * time.Millisecond
	// forwardedPollInterval is the time between two looks whether other proxies' transactions
	// have ended.
	forwardedPollInterval = 50 * time.Millisecond
	// deregisterReserve is what is left of a planned stop for telling control.
	deregisterReserve = time.Second
)

// ProxyFrontends are a proxy's front ends towards callers, members and the
// balancer.
type ProxyFrontends struct {
	NewCaller func(socket net.Conn) ctgateway.Caller
	Dialer    ctpools.Dialer
	// HealthHandler serves the balancer's question, given what to answer.
	HealthHandler func(ready func() bool) http.Handler
}

// Proxy is a proxy process.
type Proxy struct {
	settings  Settings
	frontends ProxyFrontends
	clock     ctclock.Clock
	logger    zerolog.Logger
	pools     *ctpools.Pools
	gateway   *ctgateway.Gateway
	uplink    *ctuplink.Uplink
	metrics   *ctmetric.Metrics
}

// NewProxy puts a proxy together.
func NewProxy(settings Settings, frontends ProxyFrontends, logger zerolog.Logger) *Proxy {
	clock := &ctclock.BootTime{}
	state := ctstate.New()
	metrics := ctmetric.New(prometheus.NewRegistry())
	self := ctview.Proxy{
		Name:          ctid.Proxy(settings.IP.String()),
		FailureDomain: settings.FailureDomain,
		Address:       settings.peerAddress(),
		Incarnation:   ctid.Incarnation(time.Now().UnixNano()),
		State:         ctserver.StateReady,
	}
	p := &Proxy{settings: settings, frontends: frontends, clock: clock, logger: logger, metrics: metrics}
	transport := tcpTransport{cttcp.Transport{LocalAddress: settings.LocalIP}}
	p.pools = ctpools.New(frontends.Dialer, self, transport, clock, logger)
	p.gateway = ctgateway.New(ctgateway.Options{
		FailureDomain: settings.FailureDomain,
		State:         state,
		Pools:         p.pools,
		NewCaller:     frontends.NewCaller,
		Clock:         clock,
		Logger:        logger,
		Metrics:       metrics,
		TriggerReport: func() { p.uplink.TriggerReport() },
	})
	p.uplink = ctuplink.New(ctuplink.Options{
		Self:              self,
		Seeds:             settings.seedAddresses(),
		HeartbeatInterval: reportInterval,
		WatchTimeout:      watchTimeout,
		State:             state,
		Groups:            p.gateway,
		Resolve:           settings.resolve,
		Subscribers:       []ctuplink.ViewSubscriber{p.gateway},
		Transport:         transport,
		Clock:             clock,
		Logger:            logger,
		Metrics:           metrics,
	})
	return p
}

// tcpTransport opens ways to other processes over TCP.
type tcpTransport struct {
	cttcp.Transport
}

var _ ctframe.Transport = tcpTransport{}

// Reload takes the settings that may change while the process runs: the seeds.
func (p *Proxy) Reload(settings Settings) {
	p.uplink.SetSeeds(settings.seedAddresses())
}

// Run serves until ctx ends, and then stops as planned.
func (p *Proxy) Run(ctx context.Context) error {
	callers, err := listen(ctx, p.settings.CallerAddress, "callers")
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	healthServer, err := serveHTTP(
		runCtx, p.settings.HealthAddress, "the balancer", p.frontends.HealthHandler(p.ready), p.logger)
	if err != nil {
		return err
	}
	metricsServer, err := serveHTTP(
		runCtx, p.settings.metricsAddress(), "metrics", metricRoutes(p.metrics.Handler()), p.logger)
	if err != nil {
		return err
	}
	defer func() { _ = metricsServer.Close() }()
	peers, err := cttcp.Listen(p.settings.peerListenAddress())
	if err != nil {
		return err
	}
	defer func() { _ = peers.Close() }()
	go p.servePeers(runCtx, peers)
	go p.uplink.Run(runCtx)
	go p.gateway.Run(runCtx)
	go func() {
		if err := p.gateway.Serve(callers); runCtx.Err() == nil {
			p.logger.Info().Str("event", "callers_ended").Str("error", err.Error()).Send()
		}
	}()
	p.logger.Info().Str("event", "started").Stringer("callers", p.settings.CallerAddress).Send()
	<-ctx.Done()
	p.stop(runCtx, callers)
	_ = healthServer.Close()
	return nil
}

// servePeers relays for proxies that can't reach control by themselves, and
// carries queries to the members of this failure domain.
func (p *Proxy) servePeers(ctx context.Context, peers *cttcp.Listener) {
	err := peers.Serve(ctx, func(ctx context.Context, stream *cttcp.Stream) { p.servePeer(ctx, stream) })
	if ctx.Err() == nil {
		p.logger.Error().Str("event", "peers_ended").Str("error", err.Error()).Send()
	}
}

func (p *Proxy) servePeer(ctx context.Context, stream *cttcp.Stream) {
	frame, err := stream.Read()
	if err != nil {
		return
	}
	if forward, ok := frame.(*ctframe.Forward); ok {
		p.pools.ServeForwarded(stream, forward)
		return
	}
	p.uplink.Relay(ctx, stream, frame)
}

// awaitForwarded waits until no other proxy's transaction uses a connection of this one,
// and reports whether that was so before ctx ended.
func (p *Proxy) awaitForwarded(ctx context.Context) bool {
	for p.pools.ForwardedConnections() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-p.clock.After(forwardedPollInterval):
		}
	}
	return true
}

func (p *Proxy) ready() bool {
	var held ctlock.Held
	return p.gateway.Ready(&held)
}

// stop performs a planned stop: callers are still served until the balancer has
// noticed, then sessions end as they come to rest, and what is left is cut.
func (p *Proxy) stop(ctx context.Context, callers net.Listener) {
	p.logger.Info().Str("event", "stopping").Str("why", "signal").Send()
	p.gateway.MarkUnready()
	p.uplink.SetState(ctserver.StateLeaving)
	p.pools.NotifyStopping()
	ctx, cancel := context.WithTimeout(ctx, p.settings.StopTimeout-deregisterReserve)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-p.clock.After(min(balancerGrace, p.settings.StopTimeout/2)):
	}
	drained := p.gateway.Drain(ctx) && p.awaitForwarded(ctx)
	_ = callers.Close()
	// Sessions may have begun between the last look and the close.
	drained = p.gateway.Drain(ctx) && drained
	p.gateway.DisconnectAll()
	deregisterCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterReserve/2)
	defer cancel()
	if err := p.uplink.Deregister(deregisterCtx); err != nil {
		p.logger.Info().Str("event", "parting_failed").Str("error", err.Error()).Send()
	}
	p.logger.Info().Str("event", "stopped").Bool("drained", drained).Send()
}
