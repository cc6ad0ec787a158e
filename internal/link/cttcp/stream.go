package cttcp

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// writeTimeout limits the time for writing one frame.
const writeTimeout = 8 * time.Second

// Stream is a ctframe.Stream over one TCP connection.
type Stream struct {
	// Meter limits what received frames may hold; nil for no limit. It is set before the first Read.
	Meter  ctframe.Meter
	socket net.Conn
	reader *bufio.Reader
	// mutex serializes writes.
	mutex sync.Mutex
}

// NewStream returns a stream over a connection. The stream owns the connection.
func NewStream(socket net.Conn) *Stream {
	return &Stream{socket: socket, reader: bufio.NewReader(socket)}
}

// Write writes one frame. It may be called by several goroutines at once.
func (s *Stream) Write(frame ctframe.Frame) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "bound a write")
	}
	return ctframe.Write(s.socket, frame)
}

// Read waits for the next frame. Only one goroutine may call it at a time.
func (s *Stream) Read() (ctframe.Frame, error) {
	return ctframe.ReadMetered(s.reader, s.Meter)
}

// ReadRaw is Read without decoding. The kernel says how long ago the frame's last byte arrived.
func (s *Stream) ReadRaw() (ctframe.Raw, error) {
	raw, err := ctframe.ReadRaw(s.reader, s.Meter)
	if err == nil && s.reader.Buffered() == 0 {
		raw.Waited = sinceLastData(s.socket)
	}
	return raw, err
}

// Close closes the connection. Calls of Read and Write that wait then fail.
func (s *Stream) Close() {
	_ = s.socket.Close()
}

// Transport opens streams to other processes. Its zero value is ready for use.
type Transport struct {
	// LocalAddress is the address from which connections are opened. If it is not valid,
	// the kernel chooses one.
	LocalAddress netip.Addr
}

// Open opens a connection to the process at the address. If the process can't be
// reached, the error is of kind cterror.Unavailable.
func (t Transport) Open(ctx context.Context, address netip.AddrPort) (ctframe.Stream, error) {
	dialer := NewDialer(t.LocalAddress)
	socket, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "connect to a peer", "check that the peer runs and can be reached")
	}
	return NewStream(socket), nil
}

// Disconnect does nothing, because each stream has its own connection.
func (Transport) Disconnect(netip.AddrPort) {}

// Listener accepts streams from other processes.
type Listener struct {
	// Admit reports whether a connection from an address is accepted. It is nil if all are.
	Admit func(remote netip.Addr) bool

	listener net.Listener
}

// Listen opens a TCP listener at the address for the system's other processes.
func Listen(address netip.AddrPort) (*Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: SetSocketOptions}
	listener, err := config.Listen(context.Background(), "tcp4", address.String())
	if err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "open the peers' address", "choose a free TCP port")
	}
	return &Listener{listener: listener}, nil
}

// Serve calls handle in a new goroutine for every stream that a peer opens, and closes
// the stream when handle returns or panics. report receives the failures. Serve itself
// returns an error once the listener is closed.
func (l *Listener) Serve(
	ctx context.Context, report func(Failure), handle func(ctx context.Context, stream *Stream),
) error {
	acceptor := Acceptor{Listener: l.listener, Report: report}
	return acceptor.Serve(func(socket net.Conn) {
		if l.Admit != nil && !l.Admit(addressOf(socket.RemoteAddr()).Addr()) {
			reset(socket)
			return
		}
		stream := NewStream(socket)
		go func() {
			defer stream.Close()
			Contain(report, func() { handle(ctx, stream) })
		}()
	})
}

// Close closes the listener. Accepted streams stay open.
func (l *Listener) Close() error {
	return errors.Wrap(l.listener.Close(), "close the peers' address")
}

// Address returns the address at which the listener accepts streams.
func (l *Listener) Address() netip.AddrPort {
	return addressOf(l.listener.Addr())
}

// addressOf returns a TCP address, or an invalid one if it is not of TCP.
func addressOf(address net.Addr) netip.AddrPort {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), tcp.AddrPort().Port())
}
