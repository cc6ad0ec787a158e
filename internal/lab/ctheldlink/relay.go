package ctheldlink

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// relayBufferBytes is how many bytes are read and forwarded at once.
	relayBufferBytes = 16 << 10
	// maxQueuedChunks is how many reads of one direction may wait for their delivery. The
	// writer is stalled then.
	maxQueuedChunks = 1 << 10
	// relayDialTimeout bounds the opening of a connection to a process.
	relayDialTimeout = time.Second
)

// Relay forwards TCP connections to one host.
type Relay struct {
	network        *Network
	listen, target netip.AddrPort
	// from is the host that all connections come from. If it is empty, the address of a
	// connection decides.
	from, to Host

	// mutex guards listener, which is nil while the relay is closed.
	mutex    sync.Mutex
	listener net.Listener
}

// Open starts to accept connections.
func (r *Relay) Open() error {
	listener, err := net.Listen("tcp4", r.listen.String())
	if err != nil {
		return errors.Wrap(err, "open a relay's address")
	}
	r.mutex.Lock()
	r.listener = listener
	r.mutex.Unlock()
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(socket)
		}
	}()
	return nil
}

// Close refuses new connections until Open. The open ones stay.
func (r *Relay) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
}

// serve forwards the bytes of one connection until both directions have ended.
func (r *Relay) serve(client net.Conn) {
	from := r.from
	if remote, ok := client.RemoteAddr().(*net.TCPAddr); ok && from == "" {
		from = r.network.hostAt(remote.AddrPort().Addr().Unmap())
	}
	server, err := net.DialTimeout("tcp4", r.target.String(), relayDialTimeout)
	if err != nil {
		reset(client)
		return
	}
	var done sync.WaitGroup
	done.Go(func() { r.network.forward(client, server, link{from, r.to}) })
	done.Go(func() { r.network.forward(server, client, link{r.to, from}) })
	done.Wait()
	_, _ = client.Close(), server.Close()
}

// chunk is what one read returned, with the hold in force then.
type chunk struct {
	data []byte
	hold *Hold
	err  error
}

// forward forwards one direction until it ends. It reads also while the link is held, so
// that the writer can close its connection.
func (n *Network) forward(from, to net.Conn, l link) {
	chunks := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, relayBufferBytes)
			count, err := from.Read(data)
			chunks <- chunk{data: data[:count], hold: n.holdOf(l, data[:count]), err: err}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if c.hold != nil {
			<-c.hold.released
		}
		if _, err := to.Write(c.data); err != nil {
			reset(from)
			reset(to)
		}
		if c.err != nil {
			endWriting(to, c.err)
		}
	}
}

// endWriting ends the direction towards a socket after a read from the other one has failed.
func endWriting(to net.Conn, err error) {
	socket, ok := to.(*net.TCPConn)
	if !ok || !errors.Is(err, io.EOF) {
		reset(to)
		return
	}
	_ = socket.CloseWrite()
}

// reset closes a socket so that its other end receives a TCP reset.
func reset(socket net.Conn) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = socket.Close()
}
