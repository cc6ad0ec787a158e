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

// The settings of connections.
const (
	idleTimeout      = 3 * time.Second
	keepAlive        = time.Second
	handshakeTimeout = 2 * time.Second
	maxStreams       = 1 << 16
	streamWindow     = 256 << 10
	maxStreamWindow  = 4 << 20
	maxWindow        = 16 << 20
)

// codeClosed is the application error code of an orderly close.
const codeClosed = 0

// Endpoint sends and accepts frames on one UDP address.
type Endpoint struct {
	keys      *ctkey.Bundle
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener

	mutex    sync.Mutex
	peers    map[netip.AddrPort]*peer
	accepted map[*quic.Conn]struct{}
}

// peer is the connection to one address, which is opened once at a time.
type peer struct {
	mutex      sync.Mutex
	connection *quic.Conn
}

// Stream is a two-way stream of frames.
type Stream = quic.Stream

// Listen opens the endpoint's UDP socket.
func Listen(address netip.AddrPort, keys *ctkey.Bundle) (*Endpoint, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "open the QUIC address", "choose a free UDP port")
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(keys.Server(), settings())
	if err != nil {
		return nil, errors.Wrap(err, "listen on the QUIC address")
	}
	return &Endpoint{
		keys:      keys,
		socket:    socket,
		transport: transport,
		listener:  listener,
		peers:     make(map[netip.AddrPort]*peer),
		accepted:  make(map[*quic.Conn]struct{}),
	}, nil
}

func settings() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: streamWindow,
		MaxConnectionReceiveWindow:     maxWindow,
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

// Serve calls handle, each time in a goroutine of its own, for every stream
// that a peer opens, until ctx ends or the endpoint is closed.
func (e *Endpoint) Serve(ctx context.Context, handle func(ctx context.Context, stream *Stream)) error {
	for {
		connection, err := e.listener.Accept(ctx)
		if err != nil {
			return errors.Wrap(err, "accept a QUIC connection")
		}
		go func() {
			e.keep(connection)
			defer e.forget(connection)
			serveConnection(ctx, connection, handle)
		}()
	}
}

func (e *Endpoint) keep(connection *quic.Conn) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.accepted[connection] = struct{}{}
}

func (e *Endpoint) forget(connection *quic.Conn) {
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
		go handle(connection.Context(), stream)
	}
}

// Open opens a stream to the peer at the address. It returns an error of kind
// cterror.Unavailable where the peer can't be reached; nothing was sent then.
func (e *Endpoint) Open(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	p := e.peer(address)
	connection, err := p.connect(ctx, e, address)
	if err != nil {
		return nil, err
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err == nil {
		return stream, nil
	}
	p.drop(connection)
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

func (p *peer) connect(ctx context.Context, e *Endpoint, address netip.AddrPort) (*quic.Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != nil && p.connection.Context().Err() == nil {
		return p.connection, nil
	}
	connection, err := e.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), e.keys.Client(), settings())
	if err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "connect to a peer",
			"check that the peer runs, can be reached and has keys of this fleet")
	}
	p.connection = connection
	return connection, nil
}

func (p *peer) drop(connection *quic.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection == connection {
		p.connection = nil
	}
}

// Drop closes the connection to a peer that is gone, so that nobody waits for
// its answers.
func (e *Endpoint) Drop(address netip.AddrPort) {
	e.mutex.Lock()
	p, ok := e.peers[address]
	delete(e.peers, address)
	e.mutex.Unlock()
	if ok {
		go p.close()
	}
}

// close closes the connection to the peer, once it is not being opened.
func (p *peer) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != nil {
		_ = p.connection.CloseWithError(codeClosed, "closed")
	}
}

// Close closes all connections, those that peers opened too, and the socket.
func (e *Endpoint) Close() error {
	e.mutex.Lock()
	peers, accepted := e.peers, e.accepted
	e.peers = make(map[netip.AddrPort]*peer)
	e.accepted = make(map[*quic.Conn]struct{})
	e.mutex.Unlock()
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
