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

// echoServer is a server behind a relay that sends all bytes back.
type echoServer struct {
	network ctrelay.TCPNetwork
	// relay is the address of the relay.
	relay netip.AddrPort
	// host is the address of the server and of its clients.
	host netip.Addr
}

func newEchoServer(t *testing.T) *echoServer {
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
	e := &echoServer{host: netip.MustParseAddr("127.0.0.1"), relay: netip.MustParseAddrPort(free.Addr().String())}
	assert.NilError(t, free.Close())
	relay, err := ctrelay.StartTCP(&e.network, e.relay, netip.MustParseAddrPort(server.Addr().String()))
	assert.NilError(t, err)
	t.Cleanup(relay.Close)
	return e
}

func (e *echoServer) dial(t *testing.T) net.Conn {
	t.Helper()
	socket, err := net.Dial("tcp4", e.relay.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// assertEcho sends a byte and checks that one comes back.
func assertEcho(t *testing.T, socket net.Conn) {
	t.Helper()
	assert.NilError(t, socket.SetDeadline(time.Now().Add(10*time.Second)))
	_, err := socket.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = io.ReadFull(socket, make([]byte, 1))
	assert.NilError(t, err)
}

// assertNoEcho sends a byte and checks that none comes back within 200 ms.
func assertNoEcho(t *testing.T, socket net.Conn) {
	t.Helper()
	assert.NilError(t, socket.SetDeadline(time.Now().Add(200*time.Millisecond)))
	_, err := socket.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = io.ReadFull(socket, make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestTCPRelay(t *testing.T) {
	t.Run("forwards bytes", func(t *testing.T) {
		assertEcho(t, newEchoServer(t).dial(t))
	})
	t.Run("stops bytes during a cut and delivers them after it", func(t *testing.T) {
		e := newEchoServer(t)
		socket := e.dial(t)
		assertEcho(t, socket)
		e.network.Cut(e.host, e.host)
		assertNoEcho(t, socket)
		e.network.Heal(e.host, e.host)
		assertEcho(t, socket)
	})
	t.Run("blackholes open connections but not new ones", func(t *testing.T) {
		e := newEchoServer(t)
		socket := e.dial(t)
		assertEcho(t, socket)
		e.network.Blackhole(e.host)
		assertNoEcho(t, socket)
		assertEcho(t, e.dial(t))
	})
	t.Run("resets open connections", func(t *testing.T) {
		e := newEchoServer(t)
		socket := e.dial(t)
		assertEcho(t, socket)
		e.network.Reset(e.host)
		_, err := io.ReadFull(socket, make([]byte, 1))
		assert.ErrorContains(t, err, "reset")
	})
	t.Run("delays bytes", func(t *testing.T) {
		e := newEchoServer(t)
		e.network.SetDelay(e.host, 20*time.Millisecond)
		socket := e.dial(t)
		start := time.Now()
		assertEcho(t, socket)
		assert.Assert(t, time.Since(start) >= 40*time.Millisecond)
	})
}
