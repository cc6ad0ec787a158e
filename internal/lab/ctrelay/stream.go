package ctrelay

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// bufferBytes is how many bytes are read and forwarded at once.
	bufferBytes = 16 << 10
	// resetTimeout is how long bytes may be stopped before the connection is reset. It
	// stands in for the sender's own timeout for unacknowledged bytes. That one never
	// expires, because the relay acknowledges the bytes.
	resetTimeout = 4 * time.Second
	// dialTimeout bounds the opening of a connection to the process.
	dialTimeout = 2 * time.Second
)

// TCPRelay forwards TCP connections to one address of a process.
type TCPRelay struct {
	network  *TCPNetwork
	process  netip.AddrPort
	listener net.Listener
}

// StartTCP starts a relay that listens on one address and forwards to the process at
// another. Both are IPv4 addresses. The caller closes the relay.
func StartTCP(network *TCPNetwork, listen, process netip.AddrPort) (*TCPRelay, error) {
	listener, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "open the relay's address")
	}
	r := &TCPRelay{network: network, process: process, listener: listener}
	go r.accept()
	return r, nil
}

// Close stops accepting connections. The open ones stay until one of their ends closes.
func (r *TCPRelay) Close() {
	_ = r.listener.Close()
}

// accept serves new connections until the relay is closed.
func (r *TCPRelay) accept() {
	for {
		socket, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(socket)
	}
}

// connection is one connection through a relay: a socket to the client that opened it,
// and one to the server, which is the process behind the relay.
type connection struct {
	network                *TCPNetwork
	clientHost, serverHost netip.Addr
	client                 net.Conn
	// mutex guards server, which is nil until the relay has connected to the process.
	mutex  sync.Mutex
	server net.Conn
	// closed is closed at the first reset, which once ensures.
	closed chan struct{}
	once   sync.Once
}

// serve connects to the process once both directions are open, and forwards bytes both
// ways until the connection ends. It resets the client if the process can't be
// reached.
func (r *TCPRelay) serve(client net.Conn) {
	c := &connection{network: r.network, serverHost: r.process.Addr(), client: client, closed: make(chan struct{})}
	if from, ok := client.RemoteAddr().(*net.TCPAddr); ok {
		c.clientHost = from.AddrPort().Addr().Unmap()
	}
	r.network.add(c)
	defer r.network.remove(c)
	toServer, toClient := direction{c.clientHost, c.serverHost}, direction{c.serverHost, c.clientHost}
	if !c.awaitLink(toServer) || !c.awaitLink(toClient) {
		return
	}
	server, err := net.DialTimeout("tcp4", r.process.String(), dialTimeout)
	if err != nil {
		c.reset()
		return
	}
	c.mutex.Lock()
	c.server = server
	c.mutex.Unlock()
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		c.forward(client, server, toServer)
	}()
	c.forward(server, client, toClient)
	done.Wait()
}

// forward forwards the bytes of one direction until the connection ends or is reset.
func (c *connection) forward(from, to net.Conn, d direction) {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		if !c.awaitLink(d) {
			return
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			c.closeBoth(from, to, err)
			return
		}
	}
}

// closeBoth closes both sockets after a read from one of them has returned err, also at
// the end of its data: half-closed connections are not supported. If that socket was
// reset, it resets both.
func (c *connection) closeBoth(from, to net.Conn, err error) {
	_ = from.Close()
	if isReset(err) {
		c.reset()
		return
	}
	_ = to.Close()
}

// isReset reports whether err is an error of the socket, such as a reset by the other
// end. It is false for the end of the data, a timeout and a socket closed by the relay.
func isReset(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && !opErr.Timeout() && !errors.Is(err, net.ErrClosed)
}

// awaitLink waits until the direction is open, and then for its delay. If the direction
// stays stopped for resetTimeout, it resets the connection. It returns false if the
// connection was reset, by this or another call.
func (c *connection) awaitLink(d direction) bool {
	timeout := time.NewTimer(resetTimeout)
	defer timeout.Stop()
	for {
		stopped, delay, changed := c.network.stateOf(c, d)
		if !stopped {
			if delay > 0 {
				time.Sleep(delay)
			}
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		case <-timeout.C:
			c.reset()
			return false
		}
	}
}

// reset closes both sockets so that each end receives a TCP reset.
func (c *connection) reset() {
	c.once.Do(func() { close(c.closed) })
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, side := range []net.Conn{c.client, c.server} {
		if socket, ok := side.(*net.TCPConn); ok && socket != nil {
			_ = socket.SetLinger(0)
			_ = socket.Close()
		}
	}
}
