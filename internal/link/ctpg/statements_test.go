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
