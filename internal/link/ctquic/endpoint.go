package ctquic

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctkey"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// Limits of connections.
const (
	idleTimeout              = 3 * time.Second
	keepAliveInterval        = time.Second
	handshakeTimeout         = 2 * time.Second
	maxStreams               = 1 << 16
	initialWindowBytes       = 256 << 10
	maxStreamWindowBytes     = 4 << 20
	maxConnectionWindowBytes = 16 << 20
	// unusedTimeout is how long a connection without streams stays open.
	unusedTimeout = 10 * time.Second
	// reapInterval is the interval between searches for unused connections.
	reapInterval = 2 * time.Second
)

// codeClosed is the application error code of a connection that was closed without an
// error.
const codeClosed = 0

// Endpoint accepts and opens QUIC connections on one UDP socket.
type Endpoint struct {
	keys      *ctkey.Bundle
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener

	done      chan struct{}
	closeOnce sync.Once

	// mutex guards peers and accepted. Release it before locking a peer: the wait for a
	// peer's lock may last as long as a handshake.
	mutex    sync.Mutex
	peers    map[netip.AddrPort]*peer
	accepted map[*quic.Conn]struct{}
}

// Listen opens a UDP socket at the address and returns an endpoint that uses it. The
// caller must close the endpoint.
func Listen(address netip.AddrPort, keys *ctkey.Bundle) (*Endpoint, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "open the QUIC address", "choose a free UDP port")
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(keys.ServerTLS(), newConfig())
	if err != nil {
		return nil, errors.Wrap(err, "listen on the QUIC address")
	}
	e := &Endpoint{
		keys:      keys,
		socket:    socket,
		transport: transport,
		listener:  listener,
		done:      make(chan struct{}),
		peers:     make(map[netip.AddrPort]*peer),
		accepted:  make(map[*quic.Conn]struct{}),
	}
	go e.runReaper()
	return e, nil
}

// newDialConfig returns the settings of the side that opens a connection. Only this side
// sends keep-alive packets.
func newDialConfig() *quic.Config {
	config := newConfig()
	config.KeepAlivePeriod = keepAliveInterval
	return config
}

func newConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     initialWindowBytes,
		MaxStreamReceiveWindow:         maxStreamWindowBytes,
		InitialConnectionReceiveWindow: initialWindowBytes,
		MaxConnectionReceiveWindow:     maxConnectionWindowBytes,
	}
}

// Address returns the UDP address that the endpoint listens on.
func (e *Endpoint) Address() netip.AddrPort {
	address, ok := e.socket.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return address.AddrPort()
}

// Serve calls handle in a new goroutine for every stream that a peer opens. The context
// of the call ends when the stream's connection ends. Serve returns an error once ctx
// ends or the endpoint is closed.
func (e *Endpoint) Serve(ctx context.Context, handle func(ctx context.Context, stream *Stream)) error {
	for {
		connection, err := e.listener.Accept(ctx)
		if err != nil {
			return errors.Wrap(err, "accept a QUIC connection")
		}
		go func() {
			e.addAccepted(connection)
			defer e.removeAccepted(connection)
			serveConnection(ctx, connection, handle)
		}()
	}
}

func (e *Endpoint) addAccepted(connection *quic.Conn) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.accepted[connection] = struct{}{}
}

func (e *Endpoint) removeAccepted(connection *quic.Conn) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.accepted, connection)
}

func serveConnection(ctx context.Context, connection *quic.Conn, handle func(context.Context, *Stream)) {
	for {
		stream, err := connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		go handle(connection.Context(), &Stream{Stream: stream})
	}
}

// Open opens a stream to the peer at the address, and a connection if there is none. If
// the peer can't be reached, the error is of kind cterror.Unavailable, and nothing was
// sent on a stream. The caller must end the stream with CloseBoth.
func (e *Endpoint) Open(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	p := e.peer(address)
	connection, err := p.connect(ctx, e, address)
	if err != nil {
		return nil, err
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err == nil {
		return &Stream{Stream: stream, release: p.release}, nil
	}
	p.release()
	p.discard(connection)
	return nil, cterror.Wrap(cterror.Unavailable, err, "open a stream", "check that the peer runs and can be reached")
}

func (e *Endpoint) peer(address netip.AddrPort) *peer {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	p, ok := e.peers[address]
	if !ok {
		p = &peer{}
		e.peers[address] = p
	}
	return p
}

// runReaper closes unused connections once per reapInterval until the endpoint is
// closed.
func (e *Endpoint) runReaper() {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case now := <-ticker.C:
			e.closeUnused(now)
		}
	}
}

// closeUnused closes the connections that have had no stream for unusedTimeout.
func (e *Endpoint) closeUnused(now time.Time) {
	e.mutex.Lock()
	peers := make([]*peer, 0, len(e.peers))
	for _, p := range e.peers {
		peers = append(peers, p)
	}
	e.mutex.Unlock()
	for _, p := range peers {
		p.closeUnused(now)
	}
}

// Disconnect closes the connection to a peer that has gone. Reads on its streams then
// fail instead of waiting. Disconnect does not wait until the connection is closed.
func (e *Endpoint) Disconnect(address netip.AddrPort) {
	e.mutex.Lock()
	p, ok := e.peers[address]
	delete(e.peers, address)
	e.mutex.Unlock()
	if ok {
		go p.close()
	}
}

// Close closes all connections, including those that peers opened, and the socket.
func (e *Endpoint) Close() error {
	e.mutex.Lock()
	peers, accepted := e.peers, e.accepted
	e.peers = make(map[netip.AddrPort]*peer)
	e.accepted = make(map[*quic.Conn]struct{})
	e.mutex.Unlock()
	e.closeOnce.Do(func() { close(e.done) })
	for _, p := range peers {
		p.close()
	}
	for c := range accepted {
		_ = c.CloseWithError(codeClosed, "closed")
	}
	_ = e.listener.Close()
	_ = e.transport.Close()
	return errors.Wrap(e.socket.Close(), "close the QUIC socket")
}
