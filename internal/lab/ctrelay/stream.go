package ctrelay

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// streamBuffer is how many bytes are passed on at once.
	streamBuffer = 16 << 10
	// giveUpTime is how long bytes are held before the connection is reset. The relay
	// acknowledges bytes to their sender, so that the sender's own timer for bytes
	// that are not acknowledged never fires; this takes its place.
	giveUpTime = 4 * time.Second
	// dialTime bounds the opening of a connection to the process.
	dialTime = 2 * time.Second
)

// TCPRelay stands in front of one TCP address of a process.
type TCPRelay struct {
	links    *TCPNetwork
	process  netip.AddrPort
	listener net.Listener
}

// StartTCP starts a relay on the front address for the process behind it.
func StartTCP(links *TCPNetwork, front, process netip.AddrPort) (*TCPRelay, error) {
	listener, err := net.Listen("tcp4", front.String())
	if err != nil {
		return nil, errors.Wrap(err, "open the relay's address")
	}
	r := &TCPRelay{links: links, process: process, listener: listener}
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
		go r.carry(socket)
	}
}

// stream is one connection through a relay.
type stream struct {
	links          *TCPNetwork
	source, target netip.Addr
	near           net.Conn
	mutex          sync.Mutex
	far            net.Conn
	closed         chan struct{}
	once           sync.Once
}

// carry opens the connection to the process and passes bytes both ways.
func (r *TCPRelay) carry(near net.Conn) {
	s := &stream{links: r.links, target: r.process.Addr(), near: near, closed: make(chan struct{})}
	if from, ok := near.RemoteAddr().(*net.TCPAddr); ok {
		s.source = from.AddrPort().Addr().Unmap()
	}
	r.links.add(s)
	defer r.links.remove(s)
	there, back := direction{s.source, s.target}, direction{s.target, s.source}
	if !s.pass(there) || !s.pass(back) {
		return
	}
	far, err := net.DialTimeout("tcp4", r.process.String(), dialTime)
	if err != nil {
		s.reset()
		return
	}
	s.mutex.Lock()
	s.far = far
	s.mutex.Unlock()
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		s.pump(near, far, there)
	}()
	s.pump(far, near, back)
	done.Wait()
}

// pump passes bytes in one direction until it ends, and its end.
func (s *stream) pump(from, to net.Conn, d direction) {
	buffer := make([]byte, streamBuffer)
	for {
		count, err := from.Read(buffer)
		if !s.pass(d) {
			return
		}
		if count > 0 {
			if _, failed := to.Write(buffer[:count]); failed != nil {
				s.reset()
				return
			}
		}
		if err != nil {
			s.end(from, to, err)
			return
		}
	}
}

// end passes the end of one direction on.
func (s *stream) end(from, to net.Conn, err error) {
	_ = from.Close()
	if isReset(err) {
		s.reset()
		return
	}
	_ = to.Close()
}

func isReset(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && !failure.Timeout() && !errors.Is(err, net.ErrClosed)
}

// pass waits until bytes may pass, and reports false where the connection was reset
// instead.
func (s *stream) pass(d direction) bool {
	giveUp := time.NewTimer(giveUpTime)
	defer giveUp.Stop()
	for {
		stopped, delay, changed := s.links.state(s, d)
		if !stopped {
			if delay > 0 {
				time.Sleep(delay)
			}
			return true
		}
		select {
		case <-changed:
		case <-s.closed:
			return false
		case <-giveUp.C:
			s.reset()
			return false
		}
	}
}

// reset resets both ends.
func (s *stream) reset() {
	s.once.Do(func() { close(s.closed) })
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range []net.Conn{s.near, s.far} {
		if socket, ok := c.(*net.TCPConn); ok && socket != nil {
			_ = socket.SetLinger(0)
			_ = socket.Close()
		}
	}
}
