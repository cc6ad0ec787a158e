package cttcp

import (
	"net"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
)

const (
	// firstAcceptDelay is the pause after a connection could not be accepted, as when the
	// process has no descriptor left. It doubles up to maxAcceptDelay.
	firstAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay   = 320 * time.Millisecond
)

// Failure is what an Acceptor reports: a Panic or an AcceptFailure.
type Failure interface {
	isFailure()
}

// Panic reports that the goroutine of one connection has panicked. The process goes on.
type Panic struct {
	Value any
	Stack []byte
}

// AcceptFailure reports that a connection could not be accepted now. The acceptor tries
// again.
type AcceptFailure struct {
	Err error
}

func (Panic) isFailure()         {}
func (AcceptFailure) isFailure() {}

// Acceptor accepts connections, whatever happens to some of them.
type Acceptor struct {
	Listener net.Listener
	// Report receives each failure. It is nil if nothing is to be reported.
	Report func(Failure)
}

// Serve calls start for every connection until the listener is closed, and returns the
// error of Accept then. start must not wait for the connection.
func (a Acceptor) Serve(start func(socket net.Conn)) error {
	delay := firstAcceptDelay
	for {
		socket, err := a.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept a connection")
		case err != nil:
			a.report(AcceptFailure{Err: err})
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		delay = firstAcceptDelay
		start(socket)
	}
}

func (a Acceptor) report(failure Failure) {
	if a.Report != nil {
		a.Report(failure)
	}
}

// Contain calls handle, which serves one connection. If it panics, Contain reports that and
// returns, so that the other connections are not affected.
func Contain(report func(Failure), handle func()) {
	defer func() {
		if value := recover(); value != nil {
			report(Panic{Value: value, Stack: debug.Stack()})
		}
	}()
	handle()
}
