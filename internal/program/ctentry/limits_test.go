package ctentry_test

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

const (
	// testTimeout limits the reads of a test, so that a fault can't make it hang.
	testTimeout = 30 * time.Second
	// largeBytes is the size of a large statement; four copies of it are charged.
	largeBytes = 100 << 10
)

// limitedEntry is an entry whose callers are limited.
type limitedEntry struct {
	listener net.Listener
	clock    *ctclock.Manual
	metrics  *ctmetric.Clients
}

// startLimited starts an entry with limits.
func startLimited(t *testing.T, limits ctbudget.Limits) *limitedEntry {
	t.Helper()
	listener, err := net.Listen("tcp", loopback)
	assert.NilError(t, err)
	clock := &ctclock.Manual{}
	e := &limitedEntry{
		listener: listener, clock: clock, metrics: &ctmetric.New(prometheus.NewRegistry()).Clients,
	}
	startEntry(t, &holder{}, listener, ctaccount.New(ctaccount.Options{
		Listener: "callers", Limits: limits, Clock: clock, Logger: zerolog.Nop(), Metrics: e.metrics,
	}))
	return e
}

// awaitHeld waits until callers are charged for a number of bytes.
func (e *limitedEntry) awaitHeld(bytes int) {
	for testutil.ToFloat64(e.metrics.HeldBytes.WithLabelValues("callers")) != float64(bytes) {
		time.Sleep(time.Millisecond)
	}
}

// connect opens a session, which ends with the test.
func (e *limitedEntry) connect(t *testing.T) (*pgconn.PgConn, error) {
	t.Helper()
	session, err := pgconn.Connect(t.Context(), sessionURL(e.listener))
	if err == nil {
		t.Cleanup(func() { _ = session.Conn().Close() })
	}
	return session, err
}

// stall opens a session and sends the first half of a large request.
func (e *limitedEntry) stall(t *testing.T) net.Conn {
	t.Helper()
	session, err := e.connect(t)
	assert.NilError(t, err)
	data, err := (&pgproto3.Query{String: strings.Repeat("x", largeBytes)}).Encode(nil)
	assert.NilError(t, err)
	assert.NilError(t, session.Conn().SetDeadline(time.Now().Add(testTimeout)))
	_, err = session.Conn().Write(data[:largeBytes/2])
	assert.NilError(t, err)
	return session.Conn()
}

// assertServed checks that an ordinary request in a new session is answered.
func (e *limitedEntry) assertServed(t *testing.T) {
	t.Helper()
	session, err := e.connect(t)
	assert.NilError(t, err)
	_, err = session.Exec(t.Context(), "SELECT 1").ReadAll()
	assert.NilError(t, err)
	assert.NilError(t, session.Close(t.Context()))
}

// assertState checks that an error has a SQLSTATE.
func assertState(t *testing.T, err error, want string) {
	t.Helper()
	var refused *pgconn.PgError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Code, want)
}

// assertFatal checks that a connection brings a fatal error with a SQLSTATE.
func assertFatal(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	message, err := pgproto3.NewFrontend(conn, conn).Receive()
	assert.NilError(t, err)
	refused, ok := message.(*pgproto3.ErrorResponse)
	assert.Assert(t, ok, "%T", message)
	assert.Equal(t, refused.Code, want)
}

// TestCallerLimits guards against callers that hold more memory or connections than the limits, and against
// limits that keep others from being served.
func TestCallerLimits(t *testing.T) {
	const charge = 4 * (5 + largeBytes + 1)
	t.Run("requests that stop midway", func(t *testing.T) {
		e := startLimited(t, ctbudget.Limits{Total: 2 * charge, PerClient: charge, Clients: 10})
		first := e.stall(t)
		e.awaitHeld(charge)
		e.stall(t)
		e.awaitHeld(2 * charge)
		assertFatal(t, e.stall(t), "53200")
		e.assertServed(t)
		e.clock.Advance(ctbudget.MinStall)
		e.stall(t)
		_, err := first.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
		e.assertServed(t)
	})
	t.Run("more callers than the limit", func(t *testing.T) {
		e := startLimited(t, ctbudget.Limits{Clients: 2})
		for range 2 {
			_, err := e.connect(t)
			assert.NilError(t, err)
		}
		_, err := e.connect(t)
		assertState(t, err, "53300")
		e.clock.Advance(ctbudget.MinStall)
		e.assertServed(t)
	})
	t.Run("prepared statements", func(t *testing.T) {
		e := startLimited(t, ctbudget.Limits{PerClient: 2 * charge})
		session, err := e.connect(t)
		assert.NilError(t, err)
		prepared := 0
		for ; err == nil && prepared < 20; prepared++ {
			text := "SELECT '" + strings.Repeat("x", largeBytes) + "'"
			_, err = session.Prepare(t.Context(), fmt.Sprintf("s%d", prepared), text, nil)
		}
		assertState(t, err, "53200")
		assert.Assert(t, prepared > 2, prepared)
		e.assertServed(t)
	})
}

// failingListener fails to accept the first connection.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

// Accept returns an error once.
func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// TestAcceptFailure guards against an entry that accepts no callers any more after it had no descriptor left.
func TestAcceptFailure(t *testing.T) {
	listener, err := net.Listen("tcp", loopback)
	assert.NilError(t, err)
	startEntry(t, &holder{}, &failingListener{Listener: listener}, nil)
	_, err = pgconn.Connect(t.Context(), sessionURL(listener))
	assert.NilError(t, err)
}
