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
	// unackedTime is how long written bytes may go unacknowledged.
	unackedTime = 3 * time.Second
	// probeIdle is how long a connection rests before it is probed, and probeTime
	// the time between probes.
	probeIdle = 4 * time.Second
	probeTime = time.Second
	// probeCount is how many probes may go unanswered.
	probeCount = 2
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
	var failure error
	set := func(fd uintptr, level, option, value int) {
		if err := unix.SetsockoptInt(int(fd), level, option, value); err != nil && failure == nil {
			failure = err
		}
	}
	err := raw.Control(func(fd uintptr) {
		set(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		set(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeIdle/time.Second))
		set(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(probeTime/time.Second))
		set(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount)
		set(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime/time.Millisecond))
	})
	if err != nil {
		return errors.Wrap(err, "tune a socket")
	}
	return errors.Wrap(failure, "tune a socket")
}
