package ctquic

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// peer is the connection to one address. Its mutex is locked while the connection is
// being opened, so that only one is opened at a time.
type peer struct {
	mutex sync.Mutex
	// connection is nil if there is none.
	connection *quic.Conn
	// streams is the number of streams that are open or being opened. If it is 0,
	// unusedSince is the time at which the last one was released.
	streams     int
	unusedSince time.Time
}

// connect returns the connection to the peer and opens it if necessary. It counts a
// stream on the connection, which the caller must release.
func (p *peer) connect(ctx context.Context, e *Endpoint, address netip.AddrPort) (*quic.Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != nil && p.connection.Context().Err() == nil {
		p.streams++
		return p.connection, nil
	}
	connection, err := e.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), e.keys.ClientTLS(), newDialConfig())
	if err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "connect to a peer",
			"check that the peer runs, can be reached and has keys of this fleet")
	}
	p.connection = connection
	p.streams++
	return connection, nil
}

// release removes a stream from the count.
func (p *peer) release() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.streams--
	p.unusedSince = time.Now()
}

// discard removes a connection on which no stream could be opened. The next call of
// connect opens a new one.
func (p *peer) discard(connection *quic.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection == connection {
		p.connection = nil
	}
}

// closeUnused closes the connection if it has had no stream for unusedTimeout.
func (p *peer) closeUnused(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection == nil || p.streams > 0 || now.Sub(p.unusedSince) < unusedTimeout {
		return
	}
	_ = p.connection.CloseWithError(codeClosed, "unused")
	p.connection = nil
}

// close closes the connection. If the connection is being opened, close waits for that.
func (p *peer) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != nil {
		_ = p.connection.CloseWithError(codeClosed, "closed")
	}
}
