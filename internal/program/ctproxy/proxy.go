package ctproxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctquic"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctentry"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctholding"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctuplink"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

const (
	// balancerGrace is how long a stopping proxy still accepts callers after it
	// has become unready, so that the load balancer notices.
	balancerGrace = 200 * time.Millisecond
	// handoverGrace is how long a stopping proxy still serves its peers after its
	// callers and members are drained.
	handoverGrace = 300 * time.Millisecond
	// stopReserve is the time reserved at the end of a planned stop, after the waits for
	// answers. answerGrace is the part of it in which callers are told of what was given up.
	stopReserve = time.Second
	answerGrace = 300 * time.Millisecond
	// deregisterTimeout bounds the last report to control.
	deregisterTimeout = 700 * time.Millisecond
	// headerTimeout bounds reading the header of an HTTP request.
	headerTimeout = 5 * time.Second
)

// Proxy is a proxy process. It is made by Build and run once.
type Proxy struct {
	settings ctsettings.Proxy
	state    *ctstate.State
	endpoint *ctquic.Endpoint
	entry    *ctentry.Entry
	holder   *ctholding.Holder
	uplink   *ctuplink.Uplink
	metrics  *ctmetric.Metrics
	clock    ctclock.Clock
	logger   zerolog.Logger
	ready    atomic.Bool
}

// Run serves until ctx ends and then performs a planned stop. It returns an error
// if it can't listen, or if work is still running at the stop timeout; such work is
// aborted.
func (p *Proxy) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", p.settings.Listen.String())
	if err != nil {
		return cterror.Wrap(cterror.Unavailable, err, "open the callers' address", "choose a free TCP port")
	}
	operators, err := net.Listen("tcp", p.settings.HTTP.String())
	if err != nil {
		return cterror.Wrap(cterror.Unavailable, err, "open the HTTP address", "choose a free TCP port")
	}
	ctaccount.LimitHeap(resourcesOf(p.settings))
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	p.holder.Start(running)
	p.entry.Start(running)
	go p.uplink.Run(running)
	go p.servePeers(running)
	server := &http.Server{Handler: p.routes(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(operators) }()
	go p.entry.Serve(callers)
	p.ready.Store(true)
	p.logger.Info().Str("event", "started").
		Str("listen", callers.Addr().String()).
		Stringer("peer", p.endpoint.Address()).
		Str("http", operators.Addr().String()).
		Send()
	<-ctx.Done()
	err = p.stop(running, callers)
	_ = server.Close()
	cancel()
	_ = p.endpoint.Close()
	return err
}

// stop performs a planned stop. It returns an error if some work was not done
// within the stop timeout.
func (p *Proxy) stop(ctx context.Context, callers net.Listener) error {
	p.logger.Info().Str("event", "decision").Str("decision", "drain").Str("why", "planned_stop").Send()
	ctx, cancel := context.WithTimeout(ctx, p.settings.StopTimeout)
	defer cancel()
	p.ready.Store(false)
	p.uplink.SetState(ctserver.StateLeaving)
	p.pause(ctx, balancerGrace)
	_ = callers.Close()
	drained := p.drainCallers(ctx)
	handedOver := p.holder.Drain(ctx)
	p.deregister(ctx)
	p.pause(ctx, handoverGrace)
	p.logger.Info().Str("event", "stopped").Bool("drained", drained).Bool("handed_over", handedOver).Send()
	if !drained || !handedOver {
		return errors.WithMessage(cterror.New(cterror.Expired, "some work was not done in time",
			"raise --stop-time, or lower the transaction timeout"), "stop")
	}
	return nil
}

// drainCallers ends all callers' sessions. Transactions have the first half of the stop
// timeout to end, and requests have until stopReserve before its end to be answered; then
// their callers are told what is known. It reports whether all ended by themselves.
func (p *Proxy) drainCallers(ctx context.Context) bool {
	if p.drainFor(ctx, p.settings.StopTimeout/2) {
		return true
	}
	p.entry.EndTransactions()
	if p.drainFor(ctx, p.settings.StopTimeout/2-stopReserve) {
		return true
	}
	p.entry.AbandonRequests()
	p.drainFor(ctx, answerGrace)
	return false
}

// drainFor drains the entry for a time at most and reports whether all sessions ended.
func (p *Proxy) drainFor(ctx context.Context, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return p.entry.Drain(ctx)
}

// deregister notifies control that the proxy stops. If control can't be reached, it
// notices when the reports cease.
func (p *Proxy) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := p.uplink.Deregister(ctx); err != nil {
		p.logger.Info().Str("event", "parting_failed").Str("error", err.Error()).Send()
	}
}

func (p *Proxy) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-p.clock.After(d):
	}
}
