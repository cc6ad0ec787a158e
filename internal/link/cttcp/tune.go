package cttcp

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// The times after which a connection that fell silent is given up.
const (
	// userTimeout is how long written bytes may go unacknowledged.
	userTimeout = 3 * time.Second
	// keepAliveDelay is how long a connection rests before it is probed, and probeTime
	// the time between probes.
	keepAliveDelay    = 4 * time.Second
	keepAliveInterval = time.Second
	// keepAliveProbes is how many probes may go unanswered.
	keepAliveProbes = 2
)

// Dialer returns a dialer of tuned connections that come from a local address; the
// kernel chooses one where it is not valid.
func Dialer(local netip.Addr) net.Dialer {
	dialer := net.Dialer{KeepAlive: -1, Control: SetSocketOptions}
	if local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return dialer
}

// SetSocketOptions sets the times of a socket before it is connected or listens.
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
