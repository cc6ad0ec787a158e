package ctpg_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctpg"
)

// testTimeout limits the reads and writes of a test, so that a fault can't make it hang.
const testTimeout = 30 * time.Second

// acceptResult contains the results of Accept.
type acceptResult struct {
	caller *ctpg.Caller
	err    error
}

// startAccept runs Accept on the server's end of a connection. It returns the
// client's end and a channel that receives the results of Accept.
func startAccept(t *testing.T) (net.Conn, <-chan acceptResult) {
	t.Helper()
	client, server := net.Pipe()
	assert.NilError(t, client.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = client.Close() })
	result := make(chan acceptResult, 1)
	go func() {
		caller, err := ctpg.Accept(server, ctpg.Options{ProcessID: 1})
		if err != nil {
			_ = server.Close()
		}
		result <- acceptResult{caller: caller, err: err}
	}()
	return client, result
}

// send encodes messages and writes them to the connection in the background.
func send(t *testing.T, client net.Conn, messages ...pgproto3.FrontendMessage) {
	t.Helper()
	var data []byte
	var err error
	for _, m := range messages {
		data, err = m.Encode(data)
		assert.NilError(t, err)
	}
	go func() { _, _ = client.Write(data) }()
}

// startupMessage returns a start-up packet with a user, a database and extra
// parameters. The extra ones take precedence.
func startupMessage(extra map[string]string) *pgproto3.StartupMessage {
	parameters := map[string]string{"user": "lab", "database": "fit-registry"}
	for name, value := range extra {
		parameters[name] = value
	}
	return &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}
}

// startSession returns a caller that Accept has accepted, and the client's end of
// its connection.
func startSession(t *testing.T) (*ctpg.Caller, net.Conn) {
	t.Helper()
	client, result := startAccept(t)
	send(t, client, startupMessage(nil))
	r := <-result
	assert.NilError(t, r.err)
	return r.caller, client
}

// assertRefused checks that Accept sends a fatal error with a hint, and that it
// returns an error that contains wantText.
func assertRefused(t *testing.T, client net.Conn, result <-chan acceptResult, wantText string) {
	t.Helper()
	message, err := pgproto3.NewFrontend(client, client).Receive()
	assert.NilError(t, err)
	response, ok := message.(*pgproto3.ErrorResponse)
	assert.Assert(t, ok, "%T", message)
	assert.Equal(t, response.Severity, "FATAL")
	assert.Assert(t, response.Hint != "", "the error has no hint")
	r := <-result
	assert.ErrorContains(t, r.err, wantText)
}

func TestAccept(t *testing.T) {
	t.Run("reads the start-up parameters", func(t *testing.T) {
		client, result := startAccept(t)
		send(t, client, startupMessage(map[string]string{
			ctpg.ParameterMaxAge: "2s", ctpg.ParameterReadOnly: "on", ctpg.ParameterToken: "x",
		}))
		r := <-result
		assert.NilError(t, r.err)
		assert.Equal(t, r.caller.Startup.MaxAge.Or(0), 2*time.Second)
		assert.Assert(t, r.caller.Startup.ReadOnly)
		assert.Equal(t, r.caller.Startup.Token, "x")
	})
	t.Run("declines encryption without a TLS configuration", func(t *testing.T) {
		client, result := startAccept(t)
		send(t, client, &pgproto3.SSLRequest{})
		var answer [1]byte
		_, err := client.Read(answer[:])
		assert.NilError(t, err)
		assert.Equal(t, answer[0], byte('N'))
		send(t, client, startupMessage(nil))
		assert.NilError(t, (<-result).err)
	})
	t.Run("returns a cancel request as a CancelError", func(t *testing.T) {
		client, result := startAccept(t)
		send(t, client, &pgproto3.CancelRequest{ProcessID: 7, SecretKey: []byte{0, 0, 0, 9}})
		r := <-result
		var cancel *ctpg.CancelError
		assert.Assert(t, errors.As(r.err, &cancel), "%v", r.err)
		assert.Equal(t, cancel.Key, ctpg.CancelKey{ProcessID: 7, Secret: 9})
	})
	for _, refused := range []struct {
		name, parameter, value, wantText string
	}{
		{"a parameter of backend connections", "search_path", "x", "search_path"},
		{"an invalid age", ctpg.ParameterMaxAge, "old", "max_age"},
		{"an unsupported encoding", "client_encoding", "LATIN1", "LATIN1"},
		{"an invalid group name", "database", "Not A Name", "name"},
	} {
		t.Run("refuses "+refused.name, func(t *testing.T) {
			client, result := startAccept(t)
			send(t, client, startupMessage(map[string]string{refused.parameter: refused.value}))
			assertRefused(t, client, result, refused.wantText)
		})
	}
	t.Run("refuses a malformed start-up packet", func(t *testing.T) {
		client, result := startAccept(t)
		go func() { _, _ = client.Write([]byte{0, 0, 0, 9, 0, 9, 0, 0, 0}) }()
		assertRefused(t, client, result, "start-up packet")
	})
}

// nextRequest sends messages in a new session and returns the request that NextRequest
// reads from them.
func nextRequest(t *testing.T, messages ...pgproto3.FrontendMessage) *ctpg.Request {
	t.Helper()
	caller, client := startSession(t)
	send(t, client, messages...)
	request, err := caller.NextRequest()
	assert.NilError(t, err)
	return request
}

func TestNextRequest(t *testing.T) {
	t.Run("classifies a query", func(t *testing.T) {
		assert.Equal(t, nextRequest(t, &pgproto3.Query{String: "SELECT 1"}).Class, ctstatement.Select)
	})
	t.Run("classifies an extended request by what it executes", func(t *testing.T) {
		request := nextRequest(t, &pgproto3.Parse{Name: "s", Query: "INSERT INTO t VALUES ($1)"},
			&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		assert.Equal(t, request.Class, ctstatement.Write)
	})
	t.Run("classifies a portal of an earlier request as a write", func(t *testing.T) {
		assert.Equal(t, nextRequest(t, &pgproto3.Execute{Portal: "p"}, &pgproto3.Sync{}).Class, ctstatement.Write)
	})
	t.Run("adds statements that a new backend connection has not prepared", func(t *testing.T) {
		caller, client := startSession(t)
		send(t, client, &pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Sync{})
		first, err := caller.NextRequest()
		assert.NilError(t, err)
		relay(t, caller, client, first, &pgproto3.ParseComplete{})
		caller.ResetPrepared()
		send(t, client, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		second, err := caller.NextRequest()
		assert.NilError(t, err)
		assert.Equal(t, second.Class, ctstatement.Select)
		// The payload ends with the Sync, which has no body and is 5 bytes long.
		parse := first.Payload[:len(first.Payload)-5]
		assert.DeepEqual(t, second.Payload[:len(parse)], parse)
	})
	t.Run("refuses a function call", func(t *testing.T) {
		caller, client := startSession(t)
		send(t, client, &pgproto3.FunctionCall{})
		_, err := caller.NextRequest()
		assert.ErrorContains(t, err, "not carried")
	})
	t.Run("refuses a request over the limit", func(t *testing.T) {
		caller, client := startSession(t)
		go func() { _, _ = client.Write([]byte{'Q', 0x7f, 0xff, 0xff, 0xff}) }()
		_, err := caller.NextRequest()
		assert.ErrorContains(t, err, "16 MiB")
	})
	t.Run("returns ErrTerminated at the end of the session", func(t *testing.T) {
		caller, client := startSession(t)
		send(t, client, &pgproto3.Terminate{})
		_, err := caller.NextRequest()
		assert.Equal(t, err, ctpg.ErrTerminated)
	})
}

// FuzzStartup checks that Accept and NextRequest neither panic nor hang, whatever bytes a
// client sends.
func FuzzStartup(f *testing.F) {
	start, err := startupMessage(nil).Encode(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(start, []byte{'Q', 0, 0, 0, 13, 'S', 'E', 'L', 'E', 'C', 'T', ' ', '1', 0})
	f.Add(start, []byte{'P', 0, 0, 0, 4})
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47}, []byte{})
	f.Fuzz(func(_ *testing.T, start, rest []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = client.Write(append(append([]byte(nil), start...), rest...))
			_ = client.Close()
		}()
		go drain(client)
		caller, err := ctpg.Accept(server, ctpg.Options{})
		if err == nil {
			_, _ = caller.NextRequest()
		}
		_ = server.Close()
	})
}

// drain discards what the server sends until the connection ends.
func drain(client net.Conn) {
	buffer := make([]byte, 4096)
	for {
		if _, err := client.Read(buffer); err != nil {
			return
		}
	}
}
