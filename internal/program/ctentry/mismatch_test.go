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
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctentry"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// loopback lets the system choose a free port of the loopback address.
const loopback = "127.0.0.1:0"

// zeroRandom is a random source that always returns 0.
type zeroRandom struct{}

func (zeroRandom) Int64N(int64) int64 {
	return 0
}

// holder is a transport whose streams answer every request.
type holder struct {
	// mismatched is how many of the first answers bear the ID of another request.
	mismatched int32
	// requests counts the requests that were received.
	requests atomic.Int32
}

// Open opens a stream to the holder.
func (h *holder) Open(context.Context, netip.AddrPort) (ctframe.Stream, error) {
	return &stream{holder: h, answers: make(chan ctframe.Frame, 1)}, nil
}

// stream is one stream to a holder.
type stream struct {
	holder  *holder
	answers chan ctframe.Frame
}

// Write receives a request and queues its answer, or one that bears another request's
// ID.
func (s *stream) Write(frame ctframe.Frame) error {
	first, ok := frame.(*ctframe.FirstRequest)
	if !ok {
		return nil
	}
	request := first.Request
	if s.holder.requests.Add(1) <= s.holder.mismatched {
		request.Sequence += 7
	}
	answer := []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}}
	if first.Payload[0] == 'P' {
		answer = []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.ParameterDescription{}, &pgproto3.NoData{}}
	}
	var payload []byte
	var err error
	for _, message := range append(answer, &pgproto3.ReadyForQuery{TxStatus: 'I'}) {
		if payload, err = message.Encode(payload); err != nil {
			return err
		}
	}
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

// Close does nothing, because each stream serves only one request.
func (s *stream) Close() {}

// newState returns a state whose view has a group of three members with a proxy each.
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

// connect starts an entry that sends requests to the holder, and opens a caller's
// session at it.
func connect(t *testing.T, h *holder) *pgconn.PgConn {
	t.Helper()
	listener, err := net.Listen("tcp", loopback)
	assert.NilError(t, err)
	startEntry(t, h, listener, nil)
	session, err := pgconn.Connect(t.Context(), sessionURL(listener))
	assert.NilError(t, err)
	return session
}

// sessionURL returns the URL of a session at a listener.
func sessionURL(listener net.Listener) string {
	return "postgres://lab@" + listener.Addr().String() + "/charts?sslmode=disable"
}

// startEntry starts an entry that sends requests to the holder and limits its callers.
func startEntry(t *testing.T, h *holder, listener net.Listener, accounts *ctaccount.Accounts) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	t.Cleanup(func() { _ = listener.Close() })
	entry := ctentry.New(ctentry.Options{
		Proxy: "a", FailureDomain: "a", State: newState(t), Transport: h, Sealer: &cttoken.Sealer{},
		Clock: ctclock.System{}, Random: zeroRandom{}, Logger: zerolog.Nop(),
		Metrics: ctmetric.New(prometheus.NewRegistry()), Accounts: accounts,
	})
	entry.Start(ctx)
	go entry.Serve(listener)
}

func assertRequestCount(t *testing.T, h *holder, want int32) {
	t.Helper()
	assert.Equal(t, h.requests.Load(), want)
}

// TestMismatchedAnswers guards against relaying an answer that bears the ID of another
// request. The outcome of the request is unknown then, so only a read or a request with
// an idempotency key may be retried.
func TestMismatchedAnswers(t *testing.T) {
	t.Run("leave the outcome of a write unknown, without a retry", func(t *testing.T) {
		h := &holder{mismatched: 1}
		_, err := connect(t, h).Exec(context.Background(), "DELETE FROM charts").ReadAll()
		assert.ErrorContains(t, err, "unknown")
		assertRequestCount(t, h, 1)
	})
	t.Run("make a read retry on another member", func(t *testing.T) {
		h := &holder{mismatched: 1}
		_, err := connect(t, h).Exec(context.Background(), "SELECT 1").ReadAll()
		assert.NilError(t, err)
		assertRequestCount(t, h, 2)
	})
	t.Run("make a request with an idempotency key retry", func(t *testing.T) {
		h := &holder{mismatched: 1}
		text := "/* idempotency_key=order-1 */ DELETE FROM charts"
		_, err := connect(t, h).Exec(context.Background(), text).ReadAll()
		assert.NilError(t, err)
		assertRequestCount(t, h, 2)
	})
}
