package ctrelay_test

import (
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrelay"
)

// echo is a server behind a relay that sends back what it gets.
type echo struct {
	links ctrelay.TCPNetwork
	front netip.AddrPort
	host  netip.Addr
}

func newEcho(t *testing.T) *echo {
	t.Helper()
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		for {
			socket, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = socket.Close() }()
				_, _ = io.Copy(socket, socket)
			}()
		}
	}()
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &echo{host: netip.MustParseAddr("127.0.0.1"), front: netip.MustParseAddrPort(free.Addr().String())}
	assert.NilError(t, free.Close())
	relay, err := ctrelay.StartTCP(&e.links, e.front, netip.MustParseAddrPort(server.Addr().String()))
	assert.NilError(t, err)
	t.Cleanup(relay.Close)
	return e
}

func (e *echo) dial(t *testing.T) net.Conn {
	t.Helper()
	socket, err := net.Dial("tcp4", e.front.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// assertEcho checks that bytes come back.
func assertEcho(t *testing.T, socket net.Conn) {
	t.Helper()
	assert.NilError(t, socket.SetDeadline(time.Now().Add(10*time.Second)))
	_, err := socket.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = io.ReadFull(socket, make([]byte, 1))
	assert.NilError(t, err)
}

// assertSilent checks that bytes do not come back for a while.
func assertSilent(t *testing.T, socket net.Conn) {
	t.Helper()
	assert.NilError(t, socket.SetDeadline(time.Now().Add(200*time.Millisecond)))
	_, err := socket.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = io.ReadFull(socket, make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestStreamRelay(t *testing.T) {
	t.Run("passes bytes", func(t *testing.T) {
		assertEcho(t, newEcho(t).dial(t))
	})
	t.Run("holds bytes during a cut and passes them after it", func(t *testing.T) {
		e := newEcho(t)
		socket := e.dial(t)
		assertEcho(t, socket)
		e.links.Cut(e.host, e.host)
		assertSilent(t, socket)
		e.links.Heal(e.host, e.host)
		assertEcho(t, socket)
	})
	t.Run("silences open connections alone", func(t *testing.T) {
		e := newEcho(t)
		socket := e.dial(t)
		assertEcho(t, socket)
		e.links.Blackhole(e.host)
		assertSilent(t, socket)
		assertEcho(t, e.dial(t))
	})
	t.Run("resets open connections", func(t *testing.T) {
		e := newEcho(t)
		socket := e.dial(t)
		assertEcho(t, socket)
		e.links.Reset(e.host)
		_, err := io.ReadFull(socket, make([]byte, 1))
		assert.ErrorContains(t, err, "reset")
	})
	t.Run("delays bytes", func(t *testing.T) {
		e := newEcho(t)
		e.links.SetDelay(e.host, 20*time.Millisecond)
		socket := e.dial(t)
		start := time.Now()
		assertEcho(t, socket)
		assert.Assert(t, time.Since(start) >= 40*time.Millisecond)
	})
}
