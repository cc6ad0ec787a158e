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

// The times of the process's servers.
const (
	// watchTime is how long a watch waits before it is answered with nothing.
	watchTime = 4 * time.Second
	// httpTime bounds the header of an HTTP request.
	httpTime = 5 * time.Second
)

// Process is a control process with its servers.
type Process struct {
	settings ctsettings.Control
	control  *Control
	replica  *Replica
	store    *ctstore.Store
	endpoint *ctquic.Endpoint
	logger   zerolog.Logger
}

// Run serves until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	operators, err := net.Listen("tcp", p.settings.HTTP.String())
	if err != nil {
		return cterror.Wrap(cterror.Unavailable, err, "open the HTTP address", "choose a free TCP port")
	}
	running, end := context.WithCancel(ctx)
	defer end()
	if err := p.replica.Start(running, p.control, random{}); err != nil {
		return err
	}
	server := &http.Server{Handler: p.routes(), ReadHeaderTimeout: httpTime}
	go func() { _ = server.Serve(operators) }()
	go p.control.Run(running)
	go func() { _ = p.endpoint.Serve(ctx, p.serve) }()
	p.logger.Info().Str("event", "started").
		Stringer("peer", p.endpoint.Address()).
		Str("http", operators.Addr().String()).
		Send()
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-p.replica.Failed():
	}
	end()
	_ = server.Close()
	_ = p.endpoint.Close()
	p.logger.Info().Str("event", "stopped").Send()
	if err := p.store.Close(); failure == nil {
		failure = err
	}
	return failure
}

// serve serves one stream of a proxy.
func (p *Process) serve(ctx context.Context, stream *ctquic.Stream) {
	way := ctstream.New(stream)
	defer way.Close()
	p.replica.serve(ctx, way, p.answer)
}

func (p *Process) answer(ctx context.Context, held *ctlock.Held, frame ctframe.Frame) ctframe.Frame {
	switch f := frame.(type) {
	case *ctframe.Report:
		return &ctframe.ReportReply{Reply: *p.control.HandleReport(held, &f.Report)}
	case *ctframe.Watch:
		ctx, cancel := context.WithTimeout(ctx, watchTime)
		defer cancel()
		return &ctframe.ReportReply{Reply: *p.control.Watch(ctx, held, f.Version, f.Revision)}
	}
	return &ctframe.ErrorReply{Kind: cterror.Invalid.String(), Message: "control does not serve this frame"}
}

// routes serves operators, health and metrics.
func (p *Process) routes() http.Handler {
	mux := http.NewServeMux()
	o := operators{control: p.control, replica: p.replica}
	mux.HandleFunc("GET /v1/config", o.history)
	mux.HandleFunc("POST /v1/config", o.change)
	mux.HandleFunc("GET /v1/status", o.status)
	mux.HandleFunc("POST /v1/voters/remove", o.remove)
	mux.HandleFunc("GET /v1/deeds", o.deeds)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /metrics", promhttp.Handler())
	return mux
}
