package cttcp

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// The socket options that end a connection whose peer is unreachable.
const (
	// userTimeout is how long sent data may stay unacknowledged.
	userTimeout = 3 * time.Second
	// keepAliveDelay is how long a connection is idle before the first probe.
	// keepAliveInterval is the time between probes.
	keepAliveDelay    = 4 * time.Second
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes that ends the connection.
	keepAliveProbes = 2
)

// NewDialer returns a dialer that calls SetSocketOptions for its sockets and connects from
// the local address. If the address is not valid, the kernel chooses one.
func NewDialer(local netip.Addr) net.Dialer {
	dialer := net.Dialer{KeepAlive: -1, Control: SetSocketOptions}
	if local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return dialer
}

// SetSocketOptions sets the keep-alive options and the user timeout of a TCP socket. It
// is meant for the Control field of net.Dialer and net.ListenConfig, which call it before
// the socket connects or listens. Its first two parameters are unused.
func SetSocketOptions(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	set := func(fd uintptr, level, option, value int) {
		if err := unix.SetsockoptInt(int(fd), level, option, value); err != nil && optionErr == nil {
			optionErr = err
		}
	}
	err := raw.Control(func(fd uintptr) {
		set(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		set(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveDelay/time.Second))
		set(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval/time.Second))
		set(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes)
		set(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return errors.Wrap(err, "tune a socket")
	}
	return errors.Wrap(optionErr, "tune a socket")
}

// sinceLastData returns how long ago the kernel received the last data of a connection. It
// returns 0 if that is unknown.
func sinceLastData(socket net.Conn) time.Duration {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var since time.Duration
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

// reset closes a connection so that the peer sees at once that it was not accepted, and the
// kernel retains no state of it.
func reset(socket net.Conn) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = socket.Close()
}
