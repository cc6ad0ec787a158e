package ctpg_test

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctpg"
)

// request sends messages that end with a Sync, and returns the caller's next request.
func request(t *testing.T, caller *ctpg.Caller, client net.Conn, messages ...pgproto3.FrontendMessage) *ctpg.Request {
	t.Helper()
	send(t, client, append(messages, &pgproto3.Sync{})...)
	r, err := caller.NextRequest()
	assert.NilError(t, err)
	return r
}

// relay relays an answer of a backend server and returns the messages that the client
// receives, up to ReadyForQuery.
func relay(
	t *testing.T, caller *ctpg.Caller, client net.Conn, r *ctpg.Request, messages ...pgproto3.BackendMessage,
) []pgproto3.BackendMessage {
	t.Helper()
	var payload []byte
	var err error
	for _, m := range append(messages, &pgproto3.ReadyForQuery{TxStatus: 'I'}) {
		payload, err = m.Encode(payload)
		assert.NilError(t, err)
	}
	caller.BeginAnswer(r)
	go func() { _ = caller.EndAnswer(payload, "") }()
	frontend := pgproto3.NewFrontend(client, client)
	var received []pgproto3.BackendMessage
	for {
		message, err := frontend.Receive()
		assert.NilError(t, err)
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			return received
		}
		received = append(received, message)
	}
}

// assertPrepares checks that a request which binds the statement s begins with a Parse of
// the query. An empty query means that nothing must be prepared.
func assertPrepares(t *testing.T, caller *ctpg.Caller, client net.Conn, query string) {
	t.Helper()
	caller.ResetPrepared()
	r := request(t, caller, client, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{})
	var want []byte
	var err error
	if query != "" {
		want, err = (&pgproto3.Parse{Name: "s", Query: query}).Encode(nil)
		assert.NilError(t, err)
	}
	bind, err := (&pgproto3.Bind{PreparedStatement: "s"}).Encode(want)
	assert.NilError(t, err)
	assert.DeepEqual(t, r.Payload[:min(len(bind), len(r.Payload))], bind)
}

// TestStatementsFollowAnswers guards against running another statement than the one that
// the caller was told is prepared under a name.
func TestStatementsFollowAnswers(t *testing.T) {
	const first, second = "SELECT 1", "DELETE FROM charts"
	parseFirst := &pgproto3.Parse{Name: "s", Query: first}
	parseSecond := &pgproto3.Parse{Name: "s", Query: second}
	prepared := func(t *testing.T) (*ctpg.Caller, net.Conn) {
		t.Helper()
		caller, client := startSession(t)
		relay(t, caller, client, request(t, caller, client, parseFirst), &pgproto3.ParseComplete{})
		return caller, client
	}
	t.Run("a statement that was prepared is kept", func(t *testing.T) {
		caller, client := prepared(t)
		assertPrepares(t, caller, client, first)
	})
	t.Run("a Parse behind a failed one changes nothing", func(t *testing.T) {
		caller, client := prepared(t)
		r := request(t, caller, client, &pgproto3.Parse{Name: "bad", Query: "SELEKT"}, parseSecond)
		relay(t, caller, client, r, &pgproto3.ErrorResponse{Code: "42601"})
		assertPrepares(t, caller, client, first)
	})
	t.Run("a Parse in a request that was not run changes nothing", func(t *testing.T) {
		caller, client := prepared(t)
		caller.BeginAnswer(request(t, caller, client, parseSecond))
		assertPrepares(t, caller, client, first)
	})
	t.Run("a Close that was skipped changes nothing", func(t *testing.T) {
		caller, client := prepared(t)
		r := request(t, caller, client, &pgproto3.Parse{Name: "bad", Query: "SELEKT"},
			&pgproto3.Close{ObjectType: 'S', Name: "s"})
		relay(t, caller, client, r, &pgproto3.ErrorResponse{Code: "42601"})
		assertPrepares(t, caller, client, first)
	})
	t.Run("a Close in front of a Parse closes the earlier statement", func(t *testing.T) {
		caller, client := prepared(t)
		r := request(t, caller, client, &pgproto3.Close{ObjectType: 'S', Name: "s"}, parseSecond)
		relay(t, caller, client, r, &pgproto3.CloseComplete{}, &pgproto3.ParseComplete{})
		assertPrepares(t, caller, client, second)
	})
	t.Run("a Close behind a Parse closes the statement", func(t *testing.T) {
		caller, client := prepared(t)
		r := request(t, caller, client, &pgproto3.Close{ObjectType: 'S', Name: "s"})
		relay(t, caller, client, r, &pgproto3.CloseComplete{})
		assertPrepares(t, caller, client, "")
	})
	t.Run("a Close of a portal closes no statement", func(t *testing.T) {
		caller, client := prepared(t)
		r := request(t, caller, client, &pgproto3.Close{ObjectType: 'P', Name: "s"})
		relay(t, caller, client, r, &pgproto3.CloseComplete{})
		assertPrepares(t, caller, client, first)
	})
}

// TestAddedParseAnswers guards against an answer with one message too many: a notice or a
// parameter that a backend server sends in front must not let the answer to an added Parse
// through.
func TestAddedParseAnswers(t *testing.T) {
	for _, front := range []struct {
		name    string
		message pgproto3.BackendMessage
	}{
		{"a notice", &pgproto3.NoticeResponse{Message: "identifier will be truncated"}},
		{"a parameter", &pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"}},
	} {
		t.Run("are dropped behind "+front.name, func(t *testing.T) {
			caller, client := startSession(t)
			parse := &pgproto3.Parse{Name: "s", Query: "SELECT 1"}
			relay(t, caller, client, request(t, caller, client, parse), &pgproto3.ParseComplete{})
			caller.ResetPrepared()
			r := request(t, caller, client, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{})
			received := relay(t, caller, client, r, front.message, &pgproto3.ParseComplete{}, &pgproto3.BindComplete{})
			assert.Equal(t, len(received), 2, "%T", received)
		})
	}
}
