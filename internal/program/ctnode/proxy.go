package ctnode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctgateway"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlimits"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctuplink"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Intervals and time limits of a proxy process.
const (
	// reportInterval is the time between two reports to control.
	reportInterval = 400 * time.Millisecond
	// watchTimeout bounds a watch. Control answers one after 1.5 s at the latest; the rest
	// is for a large answer over a slow link. A watch whose answer is lost must not delay
	// a configuration for longer than it may take to be in force.
	watchTimeout = 3500 * time.Millisecond
	// balancerGrace is how long the load balancer may still send callers to a proxy that
	// has become unready.
	balancerGrace = 2200 * time.Millisecond
	// stopReserve is the time reserved at the end of a planned stop, after the waits for
	// members' answers. deliveryTimeout is the part of it in which callers take their last
	// answers, and deregisterTimeout bounds the last report to control.
	stopReserve       = time.Second
	deliveryTimeout   = 300 * time.Millisecond
	deregisterTimeout = 500 * time.Millisecond
)

// ProxyFrontends are a proxy's interfaces to callers, members and the load balancer.
type ProxyFrontends struct {
	// NewCaller wraps an accepted connection as a Caller. The meter limits its messages.
	NewCaller func(socket net.Conn, meter ctgateway.Meter) ctgateway.Caller
	Dialer    ctpools.Dialer
	// DecodeStatus decodes a member's answer to ctquery.ReadStatus.
	DecodeStatus func(answer ctquery.Answer) (ctquery.Status, error)
	// ReadinessHandler returns the handler of the load balancer's readiness probe. It calls
	// ready for each probe.
	ReadinessHandler func(ready func() bool) http.Handler
}

// Proxy is a proxy process with its listeners and its connections to control, members
// and peers.
type Proxy struct {
	settings  Settings
	frontends ProxyFrontends
	clock     ctclock.Clock
	logger    zerolog.Logger
	pools     *ctpools.Pools
	gateway   *ctgateway.Gateway
	uplink    *ctuplink.Uplink
	metrics   *ctmetric.Metrics
	// peerAccounts limits the streams that others open, and what their frames hold.
	peerAccounts *ctaccount.Accounts
}

// newAccounts returns the accounts of the clients of a listener.
func (p *Proxy) newAccounts(listener string, share ctbudget.Share) *ctaccount.Accounts {
	return p.settings.newAccounts(share, ctaccount.Options{
		Listener: listener, Clock: p.clock, Logger: p.logger, Metrics: &p.metrics.Clients,
	})
}

// NewProxy returns a proxy process. Run starts it.
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
	p.peerAccounts = p.newAccounts("peers", peerShare)
	transport := tcpTransport{cttcp.Transport{LocalAddress: settings.LocalIP}}
	p.pools = ctpools.New(frontends.Dialer, self, transport, clock, logger)
	p.pools.Metrics = metrics
	limits := ctlimits.New(ctlimits.Options{
		Bounds:        settings.Quotas,
		Owned:         p.pools,
		Clock:         clock,
		Logger:        logger,
		Metrics:       metrics,
		TriggerReport: func() { p.uplink.TriggerReport() },
	})
	p.pools.Quotas = limits
	p.pools.Policy = settings.Placement
	p.gateway = ctgateway.New(ctgateway.Options{
		FailureDomain: settings.FailureDomain,
		State:         state,
		Pools:         p.pools,
		NewCaller:     frontends.NewCaller,
		Accounts:      p.newAccounts("callers", callerShare),
		DecodeStatus:  frontends.DecodeStatus,
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
		Quotas:            limits,
		Resolve:           settings.resolve,
		Subscribers:       []ctuplink.ViewSubscriber{p.gateway, limits},
		Transport:         transport,
		Clock:             clock,
		Logger:            logger,
		Metrics:           metrics,
	})
	return p
}

// tcpTransport opens streams to other processes over TCP.
type tcpTransport struct {
	cttcp.Transport
}

var _ ctframe.Transport = tcpTransport{}

// Reload applies the settings that may change while the process runs, which are the
// seeds.
func (p *Proxy) Reload(settings Settings) {
	p.uplink.SetSeeds(settings.seedAddresses())
}

// Run serves callers until ctx ends, and then performs a planned stop.
func (p *Proxy) Run(ctx context.Context) error {
	ctaccount.LimitHeap(p.settings.resources())
	callers, err := listen(ctx, p.settings.CallerAddress, "callers")
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	readinessServer, err := serveHTTP(
		runCtx, p.settings.ReadinessAddress, "the balancer", p.frontends.ReadinessHandler(p.ready), p.logger,
		p.newAccounts("balancer", probeShare))
	if err != nil {
		return err
	}
	metricsServer, err := serveHTTP(
		runCtx, p.settings.metricsAddress(), "metrics", p.routes(), p.logger,
		p.newAccounts("metrics", probeShare))
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
		acceptor := cttcp.Acceptor{Listener: callers, Report: ctmetric.Report(&p.logger, p.metrics.Panics)}
		if err := acceptor.Serve(p.gateway.ServeConn); runCtx.Err() == nil {
			p.logger.Info().Str("event", "callers_ended").Str("error", err.Error()).Send()
		}
	}()
	p.logger.Info().Str("event", "started").Stringer("callers", p.settings.CallerAddress).Send()
	<-ctx.Done()
	p.stop(runCtx, callers)
	_ = readinessServer.Close()
	return nil
}

// servePeers serves the streams of other proxies: it relays reports for those that can't
// reach control, and runs forwarded queries on the members of this failure domain.
func (p *Proxy) servePeers(ctx context.Context, peers *cttcp.Listener) {
	report := ctmetric.Report(&p.logger, p.metrics.Panics)
	err := peers.Serve(ctx, report, func(ctx context.Context, stream *cttcp.Stream) {
		serveMetered(p.peerAccounts, stream, func() { p.servePeer(ctx, stream) })
	})
	if ctx.Err() == nil {
		p.logger.Error().Str("event", "peers_ended").Str("error", err.Error()).Send()
	}
}

// servePeer serves one stream. Its first frame says whether it forwards queries or
// relays reports.
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

func (p *Proxy) ready() bool {
	var held ctlock.Held
	return p.gateway.Ready(&held)
}

// stop performs a planned stop. New callers are served until the load balancer has seen
// that the proxy is unready. Each session then ends when it has no transaction open.
// Transactions have the first half of the time to end.
func (p *Proxy) stop(ctx context.Context, callers net.Listener) {
	p.logger.Info().Str("event", "stopping").Str("why", "signal").Send()
	begin := p.clock.Now()
	answers := begin.Add(p.settings.StopTimeout - stopReserve)
	times := ctgateway.StopTimes{
		Transactions: begin.Add(p.settings.StopTimeout / 2), Answers: answers, Delivery: answers.Add(deliveryTimeout),
	}
	p.gateway.MarkUnready()
	p.uplink.SetState(ctserver.StateLeaving)
	p.pools.NotifyStopping()
	<-p.clock.After(min(balancerGrace, p.settings.StopTimeout/2))
	drained := p.gateway.Stop(ctx, times)
	_ = callers.Close()
	// Sessions may have begun between the end of the last one and the close.
	drained = p.gateway.Stop(ctx, times) && drained
	deregisterCtx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := p.uplink.Deregister(deregisterCtx); err != nil {
		p.logger.Info().Str("event", "parting_failed").Str("error", err.Error()).Send()
	}
	p.logger.Info().Str("event", "stopped").Bool("drained", drained).Send()
}
