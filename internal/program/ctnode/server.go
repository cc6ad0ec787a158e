package ctnode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// The times of HTTP servers.
const (
	headerTimeout = 3 * time.Second
	// idleTimeout is how long a connection may rest: a few reports of a member. Members
	// that had to ask another process leave theirs behind, and each takes memory.
	idleTimeout = 4 * time.Second
)

// listen opens a TCP address.
func listen(ctx context.Context, address netip.AddrPort, purpose string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: cttcp.SetSocketOptions}
	listener, err := config.Listen(ctx, "tcp4", address.String())
	if err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "open the address for "+purpose, "choose a free TCP port")
	}
	return listener, nil
}

// metricRoutes serves metrics at their path.
func metricRoutes(handler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	return mux
}

// serveHTTP serves a handler at an address until the server is closed.
func serveHTTP(
	ctx context.Context, address netip.AddrPort, purpose string, handler http.Handler, logger zerolog.Logger,
) (*http.Server, error) {
	listener, err := listen(ctx, address, purpose)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := server.Serve(listener); err != nil && ctx.Err() == nil {
			logger.Info().Str("event", "http_ended").Str("for", purpose).Str("error", err.Error()).Send()
		}
	}()
	return server, nil
}
