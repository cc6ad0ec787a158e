package ctentry_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttoken"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctentry"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// loopback is any free port of the loopback address.
const loopback = "127.0.0.1:0"

// zeroRandom is a random source that always gives 0.
type zeroRandom struct{}

func (zeroRandom) Int64N(int64) int64 {
	return 0
}

// holder answers the requests of all ways. The first answers, so many of them,
// belong to another request.
type holder struct {
	mismatched int32
	requests   atomic.Int32
}

// Open opens a way to the holder.
func (h *holder) Open(context.Context, netip.AddrPort) (ctframe.Stream, error) {
	return &stream{holder: h, answers: make(chan ctframe.Frame, 1)}, nil
}

// stream is one way to a holder.
type stream struct {
	holder  *holder
	answers chan ctframe.Frame
}

// Write takes a request and gives its answer, or that of another one.
func (s *stream) Write(frame ctframe.Frame) error {
	first, ok := frame.(*ctframe.FirstRequest)
	if !ok {
		return nil
	}
	request := first.Request
	if s.holder.requests.Add(1) <= s.holder.mismatched {
		request.Sequence += 7
	}
	payload, err := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}).Encode(nil)
	if err != nil {
		return err
	}
	payload, err = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(payload)
	s.answers <- &ctframe.Done{Request: request, Payload: payload}
	return err
}

// Read returns the next answer.
func (s *stream) Read() (ctframe.Frame, error) {
	frame, ok := <-s.answers
	if !ok {
		return nil, io.EOF
	}
	return frame, nil
}

// Close does nothing: the way has one request only.
func (s *stream) Close() {}

// newState knows a group of three members with a proxy each.
func newState(t *testing.T) *ctstate.State {
	t.Helper()
	delta := &ctview.Delta{To: 1, Groups: []ctview.Group{{Name: "charts", Term: 1, Primary: "a"}}}
	for _, name := range []string{"a", "b", "c"} {
		delta.Proxies = append(delta.Proxies, ctview.Proxy{
			Name: ctid.Proxy(name), FailureDomain: ctid.FailureDomain(name), State: ctserver.StateReady,
		})
		delta.Members = append(delta.Members, ctserver.Announcement{
			Group: "charts", Member: ctid.Member(name), FailureDomain: ctid.FailureDomain(name),
			State: ctserver.StateReady,
		})
	}
	state := ctstate.New()
	var held ctlock.Held
	_, _, err := state.ApplyDelta(&held, delta)
	assert.NilError(t, err)
	return state
}

// connect opens a caller's session at an entry before the holder.
func connect(t *testing.T, h *holder) *pgconn.PgConn {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	entry := ctentry.New(ctentry.Options{
		Proxy: "a", FailureDomain: "a", State: newState(t), Transport: h, Sealer: &cttoken.Sealer{},
		Clock: ctclock.System{}, Random: zeroRandom{}, Logger: zerolog.Nop(),
		Metrics: ctmetric.New(prometheus.NewRegistry()),
	})
	entry.Start(ctx)
	listener, err := net.Listen("tcp", loopback)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = entry.Serve(listener) }()
	session, err := pgconn.Connect(ctx, "postgres://lab@"+listener.Addr().String()+"/charts?sslmode=disable")
	assert.NilError(t, err)
	return session
}

func assertRequestCount(t *testing.T, h *holder, want int32) {
	t.Helper()
	assert.Equal(t, h.requests.Load(), want)
}

func TestMismatchedAnswers(t *testing.T) {
	t.Run("are not told as those of a write, which is not sent again", func(t *testing.T) {
		h := &holder{mismatched: 1}
		_, err := connect(t, h).Exec(context.Background(), "DELETE FROM charts").ReadAll()
		assert.ErrorContains(t, err, "unknown")
		assertRequestCount(t, h, 1)
	})
	t.Run("make a read be sent to another member", func(t *testing.T) {
		h := &holder{mismatched: 1}
		_, err := connect(t, h).Exec(context.Background(), "SELECT 1").ReadAll()
		assert.NilError(t, err)
		assertRequestCount(t, h, 2)
	})
	t.Run("make a request with an idempotency key be sent again", func(t *testing.T) {
		h := &holder{mismatched: 1}
		text := "/* idempotency_key=order-1 */ DELETE FROM charts"
		_, err := connect(t, h).Exec(context.Background(), text).ReadAll()
		assert.NilError(t, err)
		assertRequestCount(t, h, 2)
	})
}
