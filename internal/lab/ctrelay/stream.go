package ctrelay

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// bufferBytes is how many bytes are passed on at once.
	bufferBytes = 16 << 10
	// resetTimeout is how long bytes are held before the connection is reset. The relay
	// acknowledges bytes to their sender, so that the sender's own timer for bytes
	// that are not acknowledged never fires; this takes its place.
	resetTimeout = 4 * time.Second
	// dialTimeout bounds the opening of a connection to the process.
	dialTimeout = 2 * time.Second
)

// TCPRelay stands in front of one TCP address of a process.
type TCPRelay struct {
	network  *TCPNetwork
	process  netip.AddrPort
	listener net.Listener
}

// StartTCP starts a relay on the front address for the process behind it.
func StartTCP(network *TCPNetwork, listen, process netip.AddrPort) (*TCPRelay, error) {
	listener, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "open the relay's address")
	}
	r := &TCPRelay{network: network, process: process, listener: listener}
	go r.accept()
	return r, nil
}

// Close ends the relay. Its open connections stay until one of their ends closes.
func (r *TCPRelay) Close() {
	_ = r.listener.Close()
}

func (r *TCPRelay) accept() {
	for {
		socket, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(socket)
	}
}

// connection is one connection through a relay.
type connection struct {
	network                *TCPNetwork
	clientHost, serverHost netip.Addr
	client                 net.Conn
	mutex                  sync.Mutex
	server                 net.Conn
	closed                 chan struct{}
	once                   sync.Once
}

// serve opens the connection to the process and passes bytes both ways.
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

// forward passes bytes in one direction until it ends, and its end.
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

// closeBoth passes the end of one direction on.
func (c *connection) closeBoth(from, to net.Conn, err error) {
	_ = from.Close()
	if isReset(err) {
		c.reset()
		return
	}
	_ = to.Close()
}

func isReset(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && !opErr.Timeout() && !errors.Is(err, net.ErrClosed)
}

// awaitLink waits until bytes may pass, and reports false where the connection was reset
// instead.
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

// reset resets both ends.
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
