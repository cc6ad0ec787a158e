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
	// reportTime is the time between two reports to control.
	reportTime = 400 * time.Millisecond
	// watchTime bounds a watch: control holds one for 1.5 s, and the rest is for a
	// large answer over a slow link. A watch that fell silent must not keep a
	// configuration back for longer than it may take to be in force.
	watchTime = 3500 * time.Millisecond
	// balancerTime is how long callers may still be sent here after the proxy has
	// become unready.
	balancerTime = 2200 * time.Millisecond
	// carriedPause is the time between two looks whether other proxies' transactions
	// have ended.
	carriedPause = 50 * time.Millisecond
	// partTime is what is left of a planned stop for telling control.
	partTime = time.Second
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
	settings Settings
	fronts   ProxyFrontends
	clock    ctclock.Clock
	logger   zerolog.Logger
	pools    *ctpools.Pools
	gateway  *ctgateway.Gateway
	uplink   *ctuplink.Uplink
	metrics  *ctmetric.Metrics
}

// NewProxy puts a proxy together.
func NewProxy(settings Settings, fronts ProxyFrontends, logger zerolog.Logger) *Proxy {
	clock := &ctclock.BootTime{}
	state := ctstate.New()
	metrics := ctmetric.New(prometheus.NewRegistry())
	self := ctview.Proxy{
		Name:          ctid.Proxy(settings.IP.String()),
		FailureDomain: settings.FailureDomain,
		Address:       settings.peer(),
		Incarnation:   ctid.Incarnation(time.Now().UnixNano()),
		State:         ctserver.StateReady,
	}
	p := &Proxy{settings: settings, fronts: fronts, clock: clock, logger: logger, metrics: metrics}
	opener := ways{cttcp.Transport{LocalAddress: settings.LocalIP}}
	p.pools = ctpools.New(fronts.Dialer, self, opener, clock, logger)
	p.gateway = ctgateway.New(ctgateway.Options{
		FailureDomain: settings.FailureDomain,
		State:         state,
		Pools:         p.pools,
		NewCaller:     fronts.NewCaller,
		Clock:         clock,
		Logger:        logger,
		Metrics:       metrics,
		TriggerReport: func() { p.uplink.TriggerReport() },
	})
	p.uplink = ctuplink.New(ctuplink.Options{
		Self:              self,
		Seeds:             settings.seedAddresses(),
		HeartbeatInterval: reportTime,
		WatchTimeout:      watchTime,
		State:             state,
		Groups:            p.gateway,
		Resolve:           settings.resolve,
		Subscribers:       []ctuplink.ViewSubscriber{p.gateway},
		Transport:         opener,
		Clock:             clock,
		Logger:            logger,
		Metrics:           metrics,
	})
	return p
}

// ways opens ways to other processes over TCP.
type ways struct {
	cttcp.Transport
}

var _ ctframe.Transport = ways{}

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
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	health, err := serveHTTP(running, p.settings.HealthAddress, "the balancer", p.fronts.HealthHandler(p.ready), p.logger)
	if err != nil {
		return err
	}
	measured, err := serveHTTP(running, p.settings.metrics(), "metrics", metricRoutes(p.metrics.Handler()), p.logger)
	if err != nil {
		return err
	}
	defer func() { _ = measured.Close() }()
	peers, err := cttcp.Listen(p.settings.peerListen())
	if err != nil {
		return err
	}
	defer func() { _ = peers.Close() }()
	go p.servePeers(running, peers)
	go p.uplink.Run(running)
	go p.gateway.Run(running)
	go func() {
		if err := p.gateway.Serve(callers); running.Err() == nil {
			p.logger.Info().Str("event", "callers_ended").Str("error", err.Error()).Send()
		}
	}()
	p.logger.Info().Str("event", "started").Stringer("callers", p.settings.CallerAddress).Send()
	<-ctx.Done()
	p.stop(running, callers)
	_ = health.Close()
	return nil
}

// servePeers relays for proxies that can't reach control by themselves, and
// carries queries to the members of this failure domain.
func (p *Proxy) servePeers(ctx context.Context, peers *cttcp.Listener) {
	err := peers.Serve(ctx, func(ctx context.Context, way *cttcp.Stream) { p.servePeer(ctx, way) })
	if ctx.Err() == nil {
		p.logger.Error().Str("event", "peers_ended").Str("error", err.Error()).Send()
	}
}

func (p *Proxy) servePeer(ctx context.Context, way *cttcp.Stream) {
	frame, err := way.Read()
	if err != nil {
		return
	}
	if carry, ok := frame.(*ctframe.Forward); ok {
		p.pools.ServeForwarded(way, carry)
		return
	}
	p.uplink.Relay(ctx, way, frame)
}

// carried waits until no other proxy's transaction uses a connection of this one,
// and reports whether that was so before ctx ended.
func (p *Proxy) carried(ctx context.Context) bool {
	for p.pools.ForwardedConnections() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-p.clock.After(carriedPause):
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
	ctx, cancel := context.WithTimeout(ctx, p.settings.StopTimeout-partTime)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-p.clock.After(min(balancerTime, p.settings.StopTimeout/2)):
	}
	drained := p.gateway.Drain(ctx) && p.carried(ctx)
	_ = callers.Close()
	// Sessions may have begun between the last look and the close.
	drained = p.gateway.Drain(ctx) && drained
	p.gateway.DisconnectAll()
	parting, cancel := context.WithTimeout(context.WithoutCancel(ctx), partTime/2)
	defer cancel()
	if err := p.uplink.Deregister(parting); err != nil {
		p.logger.Info().Str("event", "parting_failed").Str("error", err.Error()).Send()
	}
	p.logger.Info().Str("event", "stopped").Bool("drained", drained).Send()
}
