package cttcp_test

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
)

// accepted is a result of Accept.
type accepted struct {
	socket net.Conn
	err    error
}

// listenerStub returns the given results, and net.ErrClosed after them.
type listenerStub struct {
	results []accepted
}

func (l *listenerStub) Accept() (net.Conn, error) {
	if len(l.results) == 0 {
		return nil, net.ErrClosed
	}
	next := l.results[0]
	l.results = l.results[1:]
	return next.socket, next.err
}

func (*listenerStub) Close() error   { return nil }
func (*listenerStub) Addr() net.Addr { return nil }

func TestAcceptor(t *testing.T) {
	t.Run("goes on after the process had no descriptor left", func(t *testing.T) {
		socket, _ := net.Pipe()
		var failures []cttcp.Failure
		a := cttcp.Acceptor{
			Listener: &listenerStub{results: []accepted{{err: syscall.EMFILE}, {socket: socket}}},
			Report:   func(f cttcp.Failure) { failures = append(failures, f) },
		}
		var started []net.Conn
		err := a.Serve(func(socket net.Conn) { started = append(started, socket) })
		assert.Assert(t, errors.Is(err, net.ErrClosed))
		assert.Equal(t, len(started), 1)
		failure, ok := failures[0].(cttcp.AcceptFailure)
		assert.Assert(t, ok && errors.Is(failure.Err, syscall.EMFILE))
	})
}

func TestListener(t *testing.T) {
	t.Run("a panic ends one stream alone", func(t *testing.T) {
		listener, err := cttcp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		assert.NilError(t, err)
		failures := make(chan cttcp.Failure, 1)
		served := make(chan error, 1)
		go func() {
			served <- listener.Serve(context.Background(), func(f cttcp.Failure) { failures <- f },
				func(_ context.Context, stream *cttcp.Stream) {
					frame, err := stream.Read()
					if _, odd := frame.(*ctframe.Ack); odd {
						panic("unexpected")
					}
					if err == nil {
						_ = stream.Write(frame)
					}
				})
		}()
		open := func() ctframe.Stream {
			stream, err := cttcp.Transport{}.Open(context.Background(), listener.Address())
			assert.NilError(t, err)
			return stream
		}
		odd, other := open(), open()
		assert.NilError(t, odd.Write(&ctframe.Ack{}))
		failure, ok := (<-failures).(cttcp.Panic)
		assert.Assert(t, ok && len(failure.Stack) > 0)
		_, err = odd.Read()
		assert.Assert(t, err != nil)
		assert.NilError(t, other.Write(&ctframe.Recall{}))
		_, err = other.Read()
		assert.NilError(t, err)
		assert.NilError(t, listener.Close())
		assert.Assert(t, errors.Is(<-served, net.ErrClosed))
	})
}

// TestAdmit guards against a listener that serves connections over the bound, and against peers
// that wait for a reply on them.
func TestAdmit(t *testing.T) {
	listener, err := cttcp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	first := true
	listener.Admit = func(netip.Addr) bool {
		admitted := first
		first = false
		return admitted
	}
	served := make(chan error, 1)
	go func() {
		served <- listener.Serve(context.Background(), func(cttcp.Failure) {}, func(_ context.Context, stream *cttcp.Stream) {
			if raw, err := stream.ReadRaw(); err == nil && raw.Empty() != nil {
				_ = stream.Write(&ctframe.Ack{})
			}
		})
	}()
	call := func() error {
		stream, err := cttcp.Transport{}.Open(context.Background(), listener.Address())
		if err != nil {
			return err
		}
		defer stream.Close()
		_, err = ctframe.Call(context.Background(), stream, &ctframe.Recall{})
		return err
	}
	assert.NilError(t, call())
	assert.Assert(t, call() != nil)
	assert.NilError(t, listener.Close())
	assert.Assert(t, errors.Is(<-served, net.ErrClosed))
}

// TestWaited guards against reports that are answered after their senders have given up, because
// they seem to have just arrived when a busy process reads them.
func TestWaited(t *testing.T) {
	listener, err := cttcp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	const pause = 100 * time.Millisecond
	read := make(chan ctframe.Raw, 1)
	go func() {
		_ = listener.Serve(context.Background(), func(cttcp.Failure) {}, func(_ context.Context, stream *cttcp.Stream) {
			time.Sleep(pause)
			raw, err := stream.ReadRaw()
			if err == nil {
				read <- raw
			}
		})
	}()
	stream, err := cttcp.Transport{}.Open(context.Background(), listener.Address())
	assert.NilError(t, err)
	assert.NilError(t, stream.Write(&ctframe.Recall{}))
	assert.Assert(t, (<-read).Waited > 0)
	stream.Close()
	assert.NilError(t, listener.Close())
}
