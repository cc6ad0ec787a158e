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

// peer is the connection to one address, which is opened once at a time.
type peer struct {
	mutex      sync.Mutex
	connection *quic.Conn
	// streams is how many streams are open or being opened, and unused since
	// when there has been none.
	streams     int
	unusedSince time.Time
}

// connect returns the connection to the peer, and counts a stream on it.
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

// release counts that a stream has ended.
func (p *peer) release() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.streams--
	p.unusedSince = time.Now()
}

func (p *peer) discard(connection *quic.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection == connection {
		p.connection = nil
	}
}

// closeUnused closes the connection where it has had no stream for a while.
func (p *peer) closeUnused(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection == nil || p.streams > 0 || now.Sub(p.unusedSince) < unusedTimeout {
		return
	}
	_ = p.connection.CloseWithError(codeClosed, "unused")
	p.connection = nil
}

// close closes the connection to the peer, once it is not being opened.
func (p *peer) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != nil {
		_ = p.connection.CloseWithError(codeClosed, "closed")
	}
}
