package ctcontrol

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctquic"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstream"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctstore"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

const (
	// watchTimeout is how long a watch may wait before it is answered without a delta.
	watchTimeout = 4 * time.Second
	// headerTimeout bounds the reading of an HTTP request's header.
	headerTimeout = 5 * time.Second
)

// Process is a control process with its QUIC and HTTP servers.
type Process struct {
	settings ctsettings.Control
	control  *Control
	replica  *Replica
	store    *ctstore.Store
	endpoint *ctquic.Endpoint
	logger   zerolog.Logger
}

// Run serves until ctx ends or the disk fails, and then closes the store.
func (p *Process) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.settings.HTTP.String())
	if err != nil {
		return cterror.Wrap(cterror.Unavailable, err, "open the HTTP address", "choose a free TCP port")
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := p.replica.Start(runCtx, p.control, systemRandom{}); err != nil {
		return err
	}
	server := &http.Server{Handler: p.routes(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	go p.control.Run(runCtx)
	go func() { _ = p.endpoint.Serve(ctx, p.serveStream) }()
	p.logger.Info().Str("event", "started").
		Stringer("peer", p.endpoint.Address()).
		Str("http", listener.Addr().String()).
		Send()
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-p.replica.Failed():
	}
	cancel()
	_ = server.Close()
	_ = p.endpoint.Close()
	p.logger.Info().Str("event", "stopped").Send()
	if err := p.store.Close(); failure == nil {
		failure = err
	}
	return failure
}

// serveStream serves one stream that a proxy or another control process opened.
func (p *Process) serveStream(ctx context.Context, stream *ctquic.Stream) {
	frames := ctstream.New(stream)
	defer frames.Close()
	p.replica.serveStream(ctx, frames, p.handleFrame)
}

// handleFrame returns the reply to a proxy's request.
func (p *Process) handleFrame(ctx context.Context, held *ctlock.Held, frame ctframe.Frame) ctframe.Frame {
	switch f := frame.(type) {
	case *ctframe.Report:
		return &ctframe.ReportReply{Reply: *p.control.HandleReport(held, &f.Report)}
	case *ctframe.Watch:
		ctx, cancel := context.WithTimeout(ctx, watchTimeout)
		defer cancel()
		return &ctframe.ReportReply{Reply: *p.control.Watch(ctx, held, f.Version, f.Revision)}
	}
	return &ctframe.ErrorReply{Kind: cterror.Invalid.String(), Message: "control does not serve this frame"}
}

// routes returns the handler for operators' requests, health checks and metrics.
func (p *Process) routes() http.Handler {
	mux := http.NewServeMux()
	api := operatorAPI{control: p.control, replica: p.replica}
	mux.HandleFunc("GET /v1/config", api.configHistory)
	mux.HandleFunc("POST /v1/config", api.changeConfig)
	mux.HandleFunc("GET /v1/status", api.status)
	mux.HandleFunc("POST /v1/voters/remove", api.removeVoter)
	mux.HandleFunc("GET /v1/deeds", api.auditLog)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /metrics", promhttp.Handler())
	return mux
}
