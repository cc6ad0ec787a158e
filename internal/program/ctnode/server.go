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
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
)

// Timeouts of HTTP servers.
const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long a connection may be idle: a few report intervals of a
	// member. Members that had to switch to another process leave idle connections
	// behind, and each of them takes memory.
	idleTimeout = 4 * time.Second
	// requestTimeout bounds the reading of a whole request, and the writing of a response. A
	// configuration of 8 MiB takes 48 s on a link of 1.4 Mbit/s.
	requestTimeout = time.Minute
)

// listen opens a TCP listener. Its error names the purpose of the address.
func listen(ctx context.Context, address netip.AddrPort, purpose string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: cttcp.SetSocketOptions}
	listener, err := config.Listen(ctx, "tcp4", address.String())
	if err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "open the address for "+purpose, "choose a free TCP port")
	}
	return listener, nil
}

// serveHTTP starts a server for a handler in the background and returns it. It serves
// until the returned server is closed. The accounts limit its connections and what their bodies
// hold.
func serveHTTP(
	ctx context.Context, address netip.AddrPort, purpose string, handler http.Handler, logger zerolog.Logger,
	accounts *ctaccount.Accounts,
) (*http.Server, error) {
	listener, err := listen(ctx, address, purpose)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: meterBodies(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, ConnContext: accountContext,
	}
	go func() {
		if err := server.Serve(meteredListener{Listener: listener, accounts: accounts}); err != nil && ctx.Err() == nil {
			logger.Info().Str("event", "http_ended").Str("for", purpose).Str("error", err.Error()).Send()
		}
	}()
	return server, nil
}
