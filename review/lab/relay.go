package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relays stand for the links between the control processes. Each control process has a port
// of its own for its peers, and dials its peers at that same port, as on the platform. A
// relay listens there and forwards to the port of the peer.
type Relays struct {
	rec   *Recorder
	mutex sync.Mutex
	open  map[*link]struct{}
}

// link is one relayed connection.
type link struct {
	from, to string
	a, b     net.Conn
	silent   atomic.Bool
}

// Listen forwards connections from one process to another.
func (r *Relays) Listen(from, to, address, target string, stop <-chan struct{}) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { <-stop; _ = listener.Close() }()
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(from, to, socket, target)
		}
	}()
	return nil
}

func (r *Relays) serve(from, to string, socket net.Conn, target string) {
	peer, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		// As on a machine where nothing listens.
		_ = socket.(*net.TCPConn).SetLinger(0)
		_ = socket.Close()
		return
	}
	l := &link{from: from, to: to, a: socket, b: peer}
	r.mutex.Lock()
	if r.open == nil {
		r.open = make(map[*link]struct{})
	}
	r.open[l] = struct{}{}
	r.mutex.Unlock()
	var ends sync.WaitGroup
	ends.Add(2)
	go func() { defer ends.Done(); l.copy(peer, socket) }()
	go func() { defer ends.Done(); l.copy(socket, peer) }()
	ends.Wait()
	r.mutex.Lock()
	delete(r.open, l)
	r.mutex.Unlock()
}

// copy forwards what arrives. Once the link is silent, it delivers nothing any more, not
// even the end of the connection.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// Silence makes all open connections silent for good. New ones work.
func (r *Relays) Silence() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for l := range r.open {
		l.silent.Store(true)
		r.rec.Log("TROUBLE: the open connection from %s to %s goes silent", l.from, l.to)
	}
}

// relayControls puts relays between the control processes and before them for proxies.
func (f *Fleet) relayControls() error {
	f.Relays = &Relays{rec: f.rec}
	for i, c := range f.Controls {
		c.peerPort = peerPort + 1 + i
	}
	for j, to := range f.Controls {
		target := fmt.Sprintf("%s:%d", to.IP, to.peerPort)
		for i, from := range f.Controls {
			if i == j {
				continue
			}
			address := fmt.Sprintf("%s:%d", to.IP, from.peerPort)
			if err := f.Relays.Listen(from.Name, to.Name, address, target, f.stop); err != nil {
				return err
			}
		}
		direct := &Relays{rec: f.rec}
		if err := direct.Listen("proxies", to.Name, fmt.Sprintf("%s:%d", to.IP, peerPort), target, f.stop); err != nil {
			return err
		}
	}
	return nil
}
