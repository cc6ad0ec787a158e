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

// writeTime bounds the writing of one frame.
const writeTime = 8 * time.Second

// Way is a way over one TCP connection.
type Way struct {
	socket net.Conn
	reader *bufio.Reader
	mutex  sync.Mutex
}

// New returns a way over a connection.
func New(socket net.Conn) *Way {
	return &Way{socket: socket, reader: bufio.NewReader(socket)}
}

// Write writes one frame. Several goroutines may write.
func (w *Way) Write(frame ctframe.Frame) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.socket.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return errors.Wrap(err, "bound a write")
	}
	return ctframe.Write(w.socket, frame)
}

// Read reads one frame.
func (w *Way) Read() (ctframe.Frame, error) {
	return ctframe.Read(w.reader)
}

// Close closes the connection.
func (w *Way) Close() {
	_ = w.socket.Close()
}

// Ways opens ways to other processes. Its zero value is ready for use.
type Ways struct {
	// Local is the address from which ways are opened; the kernel chooses one
	// where it is not valid.
	Local netip.Addr
}

// Open opens a connection to the process at the address.
func (w Ways) Open(ctx context.Context, address netip.AddrPort) (ctframe.Way, error) {
	dialer := Dialer(w.Local)
	socket, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "connect to a peer", "check that the peer runs and can be reached")
	}
	return New(socket), nil
}

// Drop does nothing: each way ends with its own connection.
func (Ways) Drop(netip.AddrPort) {}

// Listener accepts ways.
type Listener struct {
	listener net.Listener
}

// Listen opens a TCP address for the system's other processes.
func Listen(address netip.AddrPort) (*Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: Tune}
	listener, err := config.Listen(context.Background(), "tcp4", address.String())
	if err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "open the peers' address", "choose a free TCP port")
	}
	return &Listener{listener: listener}, nil
}

// Serve calls handle, each time in a goroutine of its own, for every way that a
// peer opens, until the listener is closed.
func (l *Listener) Serve(ctx context.Context, handle func(ctx context.Context, way *Way)) error {
	for {
		socket, err := l.listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept a peer")
		}
		go func() {
			way := New(socket)
			defer way.Close()
			handle(ctx, way)
		}()
	}
}

// Close closes the listener.
func (l *Listener) Close() error {
	return errors.Wrap(l.listener.Close(), "close the peers' address")
}
